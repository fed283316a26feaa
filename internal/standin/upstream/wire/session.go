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

// session is one caller's connection. Its own goroutine executes the
// statements; other goroutines may end the session or cancel the statement.
type session struct {
	server *Server
	conn   *state.Conn
	// backend sends and receives the protocol's messages.
	backend *pgproto3.Backend
	ctx     context.Context
	stop    context.CancelCauseFunc

	id       uint32
	secret   []byte
	user     string
	settings *settings

	// txn is the open transaction, or nil. Only the session's goroutine
	// sets it.
	txn atomic.Pointer[engine.Txn]
	// inBlock is set within a transaction block, failed after an error in
	// it.
	inBlock bool
	failed  bool
	// committedChanges is set from the commit of a transaction with changes
	// until the answer to the commit is sent.
	committedChanges bool
	// unflushed is the approximate number of bytes of rows that have not
	// been flushed.
	unflushed int
	// skipToSync is set after an error until the next Sync.
	skipToSync bool

	statements map[string]*prepared
	portals    map[string]*portal

	claim    atomic.Uint64
	activity atomic.Uint32
	// released is closed once the session holds neither a slot nor a lock.
	released chan struct{}
	// ending is the error with which the session ends, if it has been
	// ended.
	ending atomic.Pointer[pgerror.Error]

	runMu     sync.Mutex
	cancelRun context.CancelCauseFunc
}

func newSession(ctx context.Context, s *Server, conn *state.Conn) *session {
	c := &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		statements: map[string]*prepared{}, portals: map[string]*portal{},
		released: make(chan struct{}),
	}
	c.backend.SetMaxBodyLen(maxMessageBytes)
	c.ctx, c.stop = context.WithCancelCause(ctx)
	return c
}

// errConnClosed is the cause with which a closed session's context ends.
var errConnClosed = errors.New("connection closed")

// serve handles messages until the connection ends.
func (c *session) serve() {
	messages, handled := make(chan pgproto3.FrontendMessage), make(chan struct{})
	readFailed := make(chan error, 1)
	go func() { readFailed <- c.read(messages, handled) }()
	for {
		select {
		case m := <-messages:
			if !c.handle(m) {
				return
			}
		case err := <-readFailed:
			c.release()
			c.sendReceiveError(err)
			return
		case <-c.ctx.Done():
			c.release()
			c.sendEndReason()
			return
		}
		select {
		case handled <- struct{}{}:
		case err := <-readFailed:
			c.release()
			c.sendReceiveError(err)
			return
		}
	}
}

// read reads messages. It reads the next one only after the last one has been
// handled, because Receive reuses the memory of its message.
func (c *session) read(messages chan<- pgproto3.FrontendMessage, handled <-chan struct{}) error {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return err
		}
		select {
		case messages <- m:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		select {
		case <-handled:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

// handle handles one message. It returns false when the connection has to end.
func (c *session) handle(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return false
	}
	if err := c.answer(m); err != nil {
		return false
	}
	if c.ctx.Err() != nil {
		c.release()
		c.sendEndReason()
		return false
	}
	return true
}

// answer processes one message and answers it. It returns an error when the
// connection is no longer usable.
func (c *session) answer(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); !ok && c.skipToSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.simpleQuery(m.String)
	case *pgproto3.Parse:
		return c.handleExtendedError(c.parse(m))
	case *pgproto3.Bind:
		return c.handleExtendedError(c.bind(m))
	case *pgproto3.Describe:
		return c.handleExtendedError(c.describe(m))
	case *pgproto3.Execute:
		return c.handleExtendedError(c.execute(m))
	case *pgproto3.Close:
		c.closeObject(m)
		return nil
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.Sync:
		c.skipToSync = false
		if err := c.finishImplicit(); err != nil {
			c.reportError(err)
		}
		return c.finishAnswer()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	default:
		c.sendError(pgerror.New(pgerror.FeatureUnsupported, "message %T is not supported", m))
		return c.finishAnswer()
	}
}

// handleExtendedError reports an error of a message of the extended protocol,
// after which all messages up to the next Sync are skipped.
func (c *session) handleExtendedError(err error) error {
	if err == nil {
		return nil
	}
	c.reportError(err)
	c.failTransaction()
	c.skipToSync = true
	return nil
}

// reportError sends an error to the caller. A fatal error ends the session.
func (c *session) reportError(err error) {
	e := asError(err)
	if e.Fatal {
		c.end(e)
	}
	if c.ctx.Err() == nil {
		c.sendError(e)
	}
}

// end ends the session; any goroutine may call it. When it returns, the open
// transaction has ended, unless its commit has begun: end doesn't abort that.
func (c *session) end(cause *pgerror.Error) {
	c.ending.CompareAndSwap(nil, cause)
	c.stop(cause)
	if t := c.txn.Load(); t != nil {
		t.Abort(cause)
	}
}

// boundClaim returns the claim to which the connection is bound, or 0.
func (c *session) boundClaim() chervilladder.Claim {
	return chervilladder.Claim(c.claim.Load())
}

// release rolls back the transaction and signals that the session holds nothing
// any more.
func (c *session) release() {
	c.rollback()
	select {
	case <-c.released:
	default:
		close(c.released)
	}
}

// sendReceiveError reports an invalid message to the caller, unless the caller
// has closed the connection.
func (c *session) sendReceiveError(err error) {
	if c.ctx.Err() != nil {
		c.sendEndReason()
		return
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return
	}
	c.sendError(receiveError(err))
	_ = c.backend.Flush()
}

// sendEndReason sends the caller the error with which the session was ended.
func (c *session) sendEndReason() {
	if cause := c.ending.Load(); cause != nil {
		c.sendError(cause)
		_ = c.backend.Flush()
	}
}

func (c *session) close() {
	c.release()
	c.server.remove(c)
	c.stop(errConnClosed)
	_ = c.conn.Close()
}
