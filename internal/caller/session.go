package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// session is one caller's connection. It is used by one goroutine, except for
// the running exchange, which a cancel request may stop, and for the fields
// under idleMu.
type session struct {
	server *Server
	conn   net.Conn
	reader reader
	key    chervilladder.CancelKey

	user     string
	database chervilladder.DatabaseID
	// consistencyID is shared by all connections with the same session name
	// or, without a name, of the same user.
	consistencyID chervilladder.SessionID
	startClass    string
	settings      settings
	statements    statements
	portals       []portal
	// seen is the latest mark that the session has observed.
	seen chervilladder.Mark

	// exchange is the open transaction, if any.
	exchange chervilladder.Exchange
	// service and class are those of the latest work.
	service chervilladder.ServiceID
	class   *chervilladder.Class
	// readOnly is set if the open transaction may run on a replica.
	readOnly bool

	runningMu sync.Mutex
	running   chervilladder.Exchange

	// writing is held while a part of an answer is written, and answering is set
	// while a batch is unanswered.
	writing   sync.Mutex
	answering atomic.Bool

	idleMu   sync.Mutex // guards idle and draining
	idle     bool
	draining bool
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{server: s, conn: conn, reader: reader{conn: conn}}
}

// run answers batches until the caller disconnects or the VM drains.
func (s *session) run(ctx context.Context) {
	defer s.closeExchange()
	for {
		b, err := s.readBatch()
		switch {
		case errors.Is(err, errTerminated):
			return
		case err != nil:
			s.reportEnd(err)
			return
		}
		if err := s.answer(ctx, b); err != nil {
			s.reportEnd(err)
			return
		}
	}
}

// errTerminated ends a session without an error to the caller: the caller sent
// Terminate or a cancel request, or the connection failed during start-up.
var errTerminated = errors.New("caller terminated")

// reportEnd reports to the caller why its connection ends.
func (s *session) reportEnd(err error) {
	var proxyErr *proxyError
	var netErr net.Error
	var writeErr *writeError
	var fatalErr *fatalError
	switch {
	case errors.As(err, &fatalErr):
		s.sendFatal(fatalErr.err)
	case errors.As(err, &writeErr):
		s.server.Log.WithError(err).Debug("caller: sending to the caller failed")
	case errors.As(err, &proxyErr):
		s.sendFatal(err)
	case errors.As(err, &netErr) && netErr.Timeout() && s.exchange != nil:
		s.sendFatal(&proxyError{code: codeIdle, message: "the transaction was idle for too long and was rolled back"})
	case errors.Is(err, errDraining), errors.As(err, &netErr) && netErr.Timeout():
		s.sendFatal(&proxyError{code: codeShutdown, message: "this VM is leaving, connect again"})
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
	default:
		s.server.Log.WithError(err).Debug("caller: session ended")
	}
}

// sendFatal sends an error with severity FATAL.
func (s *session) sendFatal(err error) {
	if errors.Is(err, errTerminated) || errors.Is(err, io.EOF) {
		return
	}
	r := response(err)
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	if out, encodeErr := r.Encode(nil); encodeErr == nil {
		_ = s.conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = s.conn.Write(out)
	}
	if r.Code == codeProtocol || r.Code == codeLimit {
		s.linger()
	}
}

// lingerTimeout bounds the wait for the caller to close its end of a
// connection after a fatal error.
const lingerTimeout = time.Second

// linger reads and discards what the caller still sends, since closing a
// connection with unread bytes resets it and may lose the error in transit.
func (s *session) linger() {
	if half, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(s.conn, int64(s.server.MaxBatchBytes)))
}

// answer runs a batch and sends the answer to the caller.
func (s *session) answer(ctx context.Context, b *batch) error {
	s.answering.Store(true)
	defer s.answering.Store(false)
	if b.failure != nil {
		if b.failureSent {
			return s.sendReady(nil)
		}
		return s.sendError(b.failure, b.inTransaction)
	}
	if len(b.localAnswer) > 0 {
		return s.write(b.localAnswer)
	}
	inTransaction := s.exchange != nil
	if !inTransaction {
		if err := s.open(ctx, b); err != nil {
			s.record(b, err)
			return s.sendError(err, false)
		}
	}
	err := s.relay(ctx, b)
	s.record(b, err)
	if err == nil {
		return nil
	}
	s.closeExchange()
	var writeErr *writeError
	if errors.As(err, &writeErr) {
		return err
	}
	if inTransaction {
		return fatal(err)
	}
	return s.sendError(err, false)
}

// fatal makes an error end the connection: a caller whose transaction has ended
// with an error, or whose batch was rejected within it, must not continue as if
// the transaction were open.
func fatal(err error) error {
	return &fatalError{err}
}

// fatalError ends a connection with an error that states what is known about
// the outcome.
type fatalError struct{ err error }

// Error gives the error's message.
func (e *fatalError) Error() string { return e.err.Error() }
