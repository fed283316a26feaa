// Package wire implements PostgreSQL's protocol towards callers: it parses
// messages into statements, executes them and encodes their results.
package wire

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/slots"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// endTimeout is how long a claim waits for the connections that it ends to
// release their slots, before it closes them. Their transactions have been
// rolled back by then.
const endTimeout = 200 * time.Millisecond

// Config configures a Server.
type Config struct {
	Board  *state.Board
	DB     *engine.DB
	Keeper *group.Keeper
	Slots  *slots.Queue
	Log    logrus.FieldLogger
}

// Server serves the connections of callers.
type Server struct {
	board  *state.Board
	db     *engine.DB
	keeper *group.Keeper
	slots  *slots.Queue
	log    logrus.FieldLogger
	counts Counts

	lastID   atomic.Uint32
	mu       sync.Mutex
	sessions map[*session]struct{}
}

// New returns a server without connections.
func New(c Config) (*Server, error) {
	if c.Board == nil || c.DB == nil || c.Keeper == nil || c.Slots == nil || c.Log == nil {
		return nil, errors.New("wire: Board, DB, Keeper, Slots and Log are required")
	}
	return &Server{
		board: c.Board, db: c.DB, keeper: c.Keeper, slots: c.Slots, log: c.Log,
		sessions: map[*session]struct{}{},
	}, nil
}

// Serve accepts callers' connections until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		sessions.Go(func() { s.serveConn(ctx, raw) })
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	c := newSession(ctx, s, s.board.NewConn(raw, state.CallersBlocked))
	defer c.close()
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	if c.start() {
		c.serve()
	}
}

// admit adds a session, or returns an error when the connection limit is
// reached. The reserved user may exceed the limit by the reserved connections.
func (s *Server) admit(c *session) error {
	settings := s.board.Settings.Load()
	limit := settings.Connections
	if settings.Reserved > 0 && c.user == settings.ReservedUser {
		limit += settings.Reserved
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= limit {
		e := pgerror.New(pgerror.TooManyConnections, "sorry, too many clients already")
		e.Fatal = true
		return e
	}
	c.id = s.lastID.Add(1)
	c.secret = make([]byte, 4)
	// rand.Read never returns an error.
	_, _ = rand.Read(c.secret)
	s.sessions[c] = struct{}{}
	s.counts.Opened.Add(1)
	return nil
}

func (s *Server) remove(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
}

// openSessions returns the open sessions.
func (s *Server) openSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		list = append(list, c)
	}
	return list
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// EndBelow ends the connections that are bound to lower claims.
func (s *Server) EndBelow(claim chervilladder.Claim, holder chervilladder.VMID) {
	var ended []*session
	for _, c := range s.openSessions() {
		if bound := c.boundClaim(); bound != 0 && bound < claim {
			c.end(group.ClaimEnded(claim, holder))
			ended = append(ended, c)
		}
	}
	awaitReleased(ended)
}

// End ends one connection, and returns once its transaction has ended.
func (s *Server) End(id uint32) {
	var ended []*session
	for _, c := range s.openSessions() {
		if c.id == id {
			c.end(pgerror.New(pgerror.AdminShutdown, "terminating connection due to administrator command"))
			ended = append(ended, c)
		}
	}
	awaitReleased(ended)
}

// awaitReleased waits until ended sessions have released their slots and locks.
// After endTimeout it closes the remaining connections.
func awaitReleased(ended []*session) {
	timeout := time.NewTimer(endTimeout)
	defer timeout.Stop()
	for i, c := range ended {
		select {
		case <-c.released:
		case <-timeout.C:
			closeAll(ended[i:])
			return
		}
	}
}

// closeAll closes connections, so that sessions blocked in a write return.
func closeAll(list []*session) {
	for _, c := range list {
		_ = c.conn.Close()
	}
}

// Silence makes all open connections drop all further traffic without closing
// them. It returns their number.
func (s *Server) Silence() int {
	list := s.openSessions()
	for _, c := range list {
		c.conn.Silence()
	}
	return len(list)
}

// cancel cancels the running statement of the session with an id and secret
// key.
func (s *Server) cancel(id uint32, secret []byte) {
	for _, c := range s.openSessions() {
		if c.id == id && subtle.ConstantTimeCompare(c.secret, secret) == 1 {
			c.cancelStatement()
		}
	}
}
