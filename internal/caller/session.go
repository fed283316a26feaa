package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// session is one caller's connection. It is used by one goroutine, but for
// the exchange that runs, which a cancel request may stop.
type session struct {
	server *Server
	conn   net.Conn
	reader reader
	key    cancelKey

	user       string
	database   chervilladder.DatabaseID
	id         chervilladder.SessionID
	startClass string
	settings   settings
	statements statements
	// seen is the latest mark that the session was told of.
	seen chervilladder.Mark

	// exchange is the open transaction, if any.
	exchange chervilladder.Exchange
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
	switch {
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
}

// answer runs a batch and passes its answer on.
func (s *session) answer(ctx context.Context, b *batch) error {
	if b.failure != nil {
		return s.sendError(b.failure, b.inTransaction)
	}
	if len(b.local) > 0 {
		_, err := s.conn.Write(b.local)
		return err
	}
	inTransaction := s.exchange != nil
	if !inTransaction {
		if err := s.open(ctx, b); err != nil {
			return s.sendError(err, false)
		}
	}
	err := s.relay(b)
	if err == nil {
		return nil
	}
	s.closeExchange()
	var wire *writeError
	if errors.As(err, &wire) {
		return wire.err
	}
	if inTransaction {
		return fatal(err)
	}
	return s.sendError(err, false)
}

// fatal makes an error end the connection: a caller that has lost a
// transaction must not go on as if it were open.
func fatal(err error) error {
	r := response(err)
	return &protocolError{code: r.Code, message: r.Message + " (" + r.Detail + ")", hint: r.Hint}
}

func (s *session) open(ctx context.Context, b *batch) error {
	w, err := s.work(b)
	if err != nil {
		return err
	}
	x, err := s.server.Executor.Open(ctx, w)
	if err != nil {
		return err
	}
	s.exchange = x
	s.readOnly = w.Access == chervilladder.AccessRead
	s.setRunning(x)
	return nil
}

// work describes a batch to those who decide about it.
func (s *session) work(b *batch) (chervilladder.Work, error) {
	refused := &chervilladder.NotRunError{Database: s.database, Reason: chervilladder.ReasonUnknownDB}
	catalogue := s.server.Board.Catalogue.Load()
	if catalogue == nil {
		return chervilladder.Work{}, refused
	}
	db, ok := catalogue.Databases[s.database]
	if !ok {
		return chervilladder.Work{}, refused
	}
	service := catalogue.Services[db.Service]
	class := s.class(service, b.class)
	now := time.Now()
	return chervilladder.Work{
		Database: s.database,
		Service:  db.Service,
		Class:    class.ID,
		Session:  s.id,
		Caller:   s.user,
		Access:   b.access(),
		Seen:     s.seen,
		Arrived:  now,
		Deadline: now.Add(class.Deadline),
		Settings: s.settings.list,
	}, nil
}

// class picks the class of a batch: a comment's tag goes before the start-up
// parameter, that before the role, and that before the service's default.
func (s *session) class(service *chervilladder.Service, tag string) *chervilladder.Class {
	names := []chervilladder.ClassID{
		chervilladder.ClassID(tag),
		chervilladder.ClassID(s.startClass),
		service.RoleClasses[s.user],
	}
	for _, id := range names {
		if id == "" {
			continue
		}
		if c, ok := service.Classes[id]; ok {
			return c
		}
		break
	}
	return service.Classes[service.DefaultClass]
}

// writeError tells that the caller's connection failed, not the work.
type writeError struct{ err error }

func (e *writeError) Error() string { return e.err.Error() }

// relay sends a batch and passes the parts of its answer on.
func (s *session) relay(b *batch) error {
	if err := s.exchange.Send(b.encode()); err != nil {
		return err
	}
	for {
		r, err := s.exchange.Recv()
		if err != nil {
			return err
		}
		b.watch(r.Payload)
		if r.Last {
			s.finish(b, r)
		}
		if _, err := s.conn.Write(r.Payload); err != nil {
			return &writeError{err}
		}
		if r.Last {
			return nil
		}
	}
}

// finish records what the answer to a batch has changed.
func (s *session) finish(b *batch, r chervilladder.Reply) {
	s.seen = s.seen.Later(r.Seen)
	b.commit(&s.statements)
	s.settings.after(b, r.Open)
	if !r.Open {
		s.closeExchange()
	}
}

func (s *session) closeExchange() {
	if s.exchange == nil {
		return
	}
	s.setRunning(nil)
	s.exchange.Close()
	s.exchange = nil
}

func (s *session) sendError(err error, inTransaction bool) error {
	if inTransaction {
		return fatal(err)
	}
	out, encodeErr := response(err).Encode(nil)
	if encodeErr != nil {
		return encodeErr
	}
	out, encodeErr = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(out)
	if encodeErr != nil {
		return encodeErr
	}
	_, err = s.conn.Write(out)
	return err
}
