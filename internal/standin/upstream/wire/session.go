package wire

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// activity is what a session is doing.
type activity = uint32

const (
	activityIdle activity = iota
	activityTransaction
	activityStatement
)

// session is one caller's connection. Its own goroutine runs its statements;
// others may end it or cancel the statement.
type session struct {
	server *Server
	conn   *state.Conn
	out    *pgproto3.Backend
	ctx    context.Context
	stop   context.CancelCauseFunc

	id       uint32
	secret   []byte
	user     string
	settings *settings

	// txn is the transaction, if one is open. Only the session's goroutine
	// stores it.
	txn atomic.Pointer[engine.Txn]
	// block is set within BEGIN and COMMIT, failed after an error in it.
	block  bool
	failed bool
	// wrote is set once a transaction with changes is committed, until the
	// answer to it leaves.
	wrote bool
	// unsent is about how many bytes of rows have not been flushed.
	unsent int
	// skip is set after an error until the next Sync.
	skip bool

	statements map[string]*prepared
	portals    map[string]*portal

	claim    atomic.Uint64
	activity atomic.Uint32
	// unwound closes once the session holds neither a slot nor a lock.
	unwound chan struct{}
	ending  atomic.Pointer[pgerror.Error]

	runMu     sync.Mutex
	cancelRun context.CancelCauseFunc
}

func newSession(ctx context.Context, s *Server, conn *state.Conn) *session {
	c := &session{
		server: s, conn: conn, out: pgproto3.NewBackend(conn, conn),
		statements: map[string]*prepared{}, portals: map[string]*portal{},
		unwound: make(chan struct{}),
	}
	c.out.SetMaxBodyLen(maxMessageBytes)
	c.ctx, c.stop = context.WithCancelCause(ctx)
	return c
}

// errCallerGone ends a session whose caller has closed the connection.
var errCallerGone = errors.New("caller has closed the connection")

// serve answers messages until the connection ends.
func (c *session) serve() {
	messages, more := make(chan pgproto3.FrontendMessage), make(chan struct{})
	failed := make(chan error, 1)
	go func() { failed <- c.read(messages, more) }()
	for {
		select {
		case m := <-messages:
			if !c.handle(m) {
				return
			}
		case err := <-failed:
			c.unwind()
			c.fail(err)
			return
		case <-c.ctx.Done():
			c.unwind()
			c.bye()
			return
		}
		select {
		case more <- struct{}{}:
		case err := <-failed:
			c.unwind()
			c.fail(err)
			return
		}
	}
}

// read reads messages. It reads the next one only when the last one has been
// handled, because its memory is used again.
func (c *session) read(messages chan<- pgproto3.FrontendMessage, more <-chan struct{}) error {
	for {
		m, err := c.out.Receive()
		if err != nil {
			return err
		}
		select {
		case messages <- m:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		select {
		case <-more:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

// handle answers one message. It returns false when the connection is over.
func (c *session) handle(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return false
	}
	if err := c.answer(m); err != nil {
		return false
	}
	if c.ctx.Err() != nil {
		c.unwind()
		c.bye()
		return false
	}
	return true
}

// answer answers one message. It returns an error when the connection can't
// be used any more.
func (c *session) answer(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); !ok && c.skip {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.simple(m.String)
	case *pgproto3.Parse:
		return c.step(c.parse(m))
	case *pgproto3.Bind:
		return c.step(c.bind(m))
	case *pgproto3.Describe:
		return c.step(c.describe(m))
	case *pgproto3.Execute:
		return c.step(c.execute(m))
	case *pgproto3.Close:
		c.closeObject(m)
		return nil
	case *pgproto3.Flush:
		return c.out.Flush()
	case *pgproto3.Sync:
		c.skip = false
		if err := c.finishImplicit(); err != nil {
			c.report(err)
		}
		return c.ready()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	default:
		c.sendError(pgerror.New(pgerror.FeatureUnsupported, "message %T is not supported", m))
		return c.ready()
	}
}

// step reports an error of a step of the extended protocol, after which all up
// to the next Sync is skipped.
func (c *session) step(err error) error {
	if err == nil {
		return nil
	}
	c.report(err)
	c.abort()
	c.skip = true
	return nil
}

// report tells the caller of an error. A fatal one ends the session.
func (c *session) report(err error) {
	e := asError(err)
	if e.Fatal {
		c.end(e)
	}
	if c.ctx.Err() == nil {
		c.sendError(e)
	}
}

// end ends the session from another goroutine. Its transaction is rolled back
// when end returns.
func (c *session) end(cause *pgerror.Error) {
	c.ending.CompareAndSwap(nil, cause)
	c.stop(cause)
	if t := c.txn.Load(); t != nil {
		t.Abort(cause)
	}
}

// bound returns the claim to which the connection is bound, or 0.
func (c *session) bound() chervilladder.Claim {
	return chervilladder.Claim(c.claim.Load())
}

// unwind gives up all that the session holds.
func (c *session) unwind() {
	c.rollback()
	select {
	case <-c.unwound:
	default:
		close(c.unwound)
	}
}

// fail tells the caller that what it sent is no message, unless it has gone.
func (c *session) fail(err error) {
	if c.ctx.Err() != nil {
		c.bye()
		return
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return
	}
	c.sendError(receiveError(err))
	_ = c.out.Flush()
}

// bye tells the caller why the connection ends.
func (c *session) bye() {
	if cause := c.ending.Load(); cause != nil {
		c.sendError(cause)
		_ = c.out.Flush()
	}
}

func (c *session) close() {
	c.unwind()
	c.server.remove(c)
	c.stop(errCallerGone)
	_ = c.conn.Close()
}
