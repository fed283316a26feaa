package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// session is one caller's connection. It is used by one goroutine, but for
// the exchange that runs, which a cancel request may stop.
type session struct {
	server *Server
	conn   net.Conn
	reader reader
	key    chervilladder.CancelKey

	user       string
	database   chervilladder.DatabaseID
	id         chervilladder.SessionID
	startClass string
	settings   settings
	statements statements
	portals    []portal
	// seen is the latest mark that the session was told of.
	seen chervilladder.Mark

	// exchange is the open transaction, if any.
	exchange chervilladder.Exchange
	// service and class are those of the work that runs.
	service chervilladder.ServiceID
	class   *chervilladder.Class
	// readOnly is set when the open transaction may run on a replica.
	readOnly bool

	runningMu sync.Mutex
	running   chervilladder.Exchange

	idleMu   sync.Mutex // guards idle and draining
	idle     bool
	draining bool
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{server: s, conn: conn, reader: reader{conn: conn}}
}

// run answers batches until the caller leaves or the VM drains.
func (s *session) run(ctx context.Context) {
	defer s.closeExchange()
	for {
		b, err := s.readBatch()
		switch {
		case errors.Is(err, errTerminated):
			return
		case err != nil:
			s.leave(err)
			return
		}
		if err := s.answer(ctx, b); err != nil {
			s.leave(err)
			return
		}
	}
}

// errTerminated tells that the caller has said goodbye.
var errTerminated = errors.New("caller terminated")

// leave tells the caller why its connection ends.
func (s *session) leave(err error) {
	var protocol *protocolError
	var netErr net.Error
	var wire *writeError
	var last *fatalError
	switch {
	case errors.As(err, &last):
		s.refuse(last.err)
	case errors.As(err, &wire):
		s.server.Log.WithError(err).Debug("caller: answer not taken")
	case errors.As(err, &protocol):
		s.refuse(err)
	case errors.As(err, &netErr) && netErr.Timeout() && s.exchange != nil:
		s.refuse(&protocolError{code: codeIdle, message: "the transaction was idle for too long and was rolled back"})
	case errors.Is(err, errDraining), errors.As(err, &netErr) && netErr.Timeout():
		s.refuse(&protocolError{code: codeShutdown, message: "this VM is leaving, connect again"})
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
	default:
		s.server.Log.WithError(err).Debug("caller: session ended")
	}
}

// refuse sends a fatal error.
func (s *session) refuse(err error) {
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

// lingerTimeout bounds the wait for a caller to end a connection that was
// refused.
const lingerTimeout = time.Second

// linger takes what the caller still sends, since closing a connection with
// unread bytes would drop the error that is on its way to the caller.
func (s *session) linger() {
	if half, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(s.conn, int64(s.server.MaxBatchBytes)))
}

// answer runs a batch and passes its answer on.
func (s *session) answer(ctx context.Context, b *batch) error {
	if b.failure != nil {
		if b.told {
			return s.sendReady(nil)
		}
		return s.sendError(b.failure, b.inTransaction)
	}
	if len(b.local) > 0 {
		return s.write(b.local)
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
	var wire *writeError
	if errors.As(err, &wire) {
		return err
	}
	if inTransaction {
		return fatal(err)
	}
	return s.sendError(err, false)
}

// fatal makes an error end the connection: a caller that has lost a
// transaction must not go on as if it were open.
func fatal(err error) error {
	return &fatalError{err}
}

// fatalError ends a connection with an error that says what is known of the
// outcome.
type fatalError struct{ err error }

// Error gives the error's message.
func (e *fatalError) Error() string { return e.err.Error() }
