// Package wire speaks PostgreSQL's protocol to callers. It turns messages into
// statements, and what the statements yield into messages.
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

// endPatience is how long a claim waits for the connections that it ends to
// give up their slots. Their transactions are rolled back before.
const endPatience = 200 * time.Millisecond

// Config configures a Server.
type Config struct {
	Board  *state.Board
	DB     *engine.DB
	Keeper *group.Keeper
	Slots  *slots.Queue
	Log    logrus.FieldLogger
}

// Server serves callers.
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

// Serve answers callers on a listener until the context is done.
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
	c := newSession(ctx, s, s.board.NewConn(raw, state.CallerBlocked))
	defer c.close()
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	if c.start() {
		c.serve()
	}
}

// admit counts a session in, or returns why it can't be.
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
	// The reader of random numbers never fails.
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

// all returns the sessions that are open.
func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		list = append(list, c)
	}
	return list
}

// Open returns how many connections are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// EndBelow ends the connections that are bound to lower claims.
func (s *Server) EndBelow(claim chervilladder.Claim, holder chervilladder.VMID) {
	var ended []*session
	for _, c := range s.all() {
		if bound := c.bound(); bound != 0 && bound < claim {
			c.end(group.ClaimEnded(claim, holder))
			ended = append(ended, c)
		}
	}
	awaitUnwound(ended)
}

// End ends one connection, and returns once its transaction is settled.
func (s *Server) End(id uint32) {
	var ended []*session
	for _, c := range s.all() {
		if c.id == id {
			c.end(pgerror.New(pgerror.AdminShutdown, "terminating connection due to administrator command"))
			ended = append(ended, c)
		}
	}
	awaitUnwound(ended)
}

// awaitUnwound waits until the transactions of ended connections are settled.
func awaitUnwound(ended []*session) {
	patience := time.NewTimer(endPatience)
	defer patience.Stop()
	for i, c := range ended {
		select {
		case <-c.unwound:
		case <-patience.C:
			closeAll(ended[i:])
			return
		}
	}
}

// closeAll closes connections whose sessions hang in sending.
func closeAll(list []*session) {
	for _, c := range list {
		_ = c.conn.Close()
	}
}

// Silence makes all connections that are open now carry nothing any more.
func (s *Server) Silence() int {
	list := s.all()
	for _, c := range list {
		c.conn.Silence()
	}
	return len(list)
}

// cancel cancels the statement that a session runs.
func (s *Server) cancel(id uint32, secret []byte) {
	for _, c := range s.all() {
		if c.id == id && subtle.ConstantTimeCompare(c.secret, secret) == 1 {
			c.cancelStatement()
		}
	}
}
