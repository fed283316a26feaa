package session

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/chervilladder/chervilladder"
)

// ForwardedExecutor runs work that other VMs forward. It implements
// chervilladder.Executor: an exchange carries a single-statement transaction, or a
// transaction from its start.
type ForwardedExecutor struct{ c ForwardedExecutorConfig }

// ForwardedExecutorConfig configures a ForwardedExecutor.
type ForwardedExecutorConfig struct {
	Manager *Manager
	// Leaving reports whether the VM is shutting down and takes no new work.
	Leaving func() bool
}

var _ chervilladder.Executor = (*ForwardedExecutor)(nil)

// NewForwardedExecutor returns an executor that runs forwarded work with a manager's
// sessions.
func NewForwardedExecutor(c ForwardedExecutorConfig) (*ForwardedExecutor, error) {
	if c.Manager == nil || c.Leaving == nil {
		return nil, errors.New("session: an executor of forwarded work needs Manager and Leaving; set both")
	}
	return &ForwardedExecutor{c: c}, nil
}

// Open starts the part of a session that runs at this VM.
func (e *ForwardedExecutor) Open(ctx context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	if e.c.Leaving() {
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonDraining}
	}
	m := e.c.Manager
	if err := m.checkReachable(w.Database, m.c.Board.Clusters.Get(w.Service)); err != nil {
		return nil, err
	}
	if !m.c.Board.Hosting.Load().Here(w.Service) {
		e.recordRequest(w.Service)
	}
	s := &session{m: m, db: w.Database, identity: chervilladder.Identity{Account: w.Account, Name: w.Caller}, fromPeer: true}
	s.observe(w.Seen, m.c.Clock())
	return &forwardedExchange{ctx: ctx, session: s, access: w.Access}, nil
}

// recordRequest records that a peer requested a service that this VM doesn't host, so
// that the VM starts to host it.
func (e *ForwardedExecutor) recordRequest(s chervilladder.ServiceID) {
	m := e.c.Manager
	m.c.Board.ForwardedAt.Update(func(old map[chervilladder.ServiceID]time.Time) map[chervilladder.ServiceID]time.Time {
		next := maps.Clone(old)
		if next == nil {
			next = make(map[chervilladder.ServiceID]time.Time)
		}
		next[s] = m.c.Clock()
		return next
	})
}

// forwardedExchange is the part of a session that runs at the VM that hosts the service.
type forwardedExchange struct {
	ctx     context.Context
	session *session
	access  chervilladder.Access
	batch   chervilladder.Batch
}

// Send stores the batch to run.
func (x *forwardedExchange) Send(b chervilladder.Batch) error {
	x.batch = b
	return nil
}

// errEmptyBatch reports a batch without a command.
var errEmptyBatch = errors.New("session: the forwarded batch holds no command")

// Recv runs the batch and returns the result of the last command that was run.
func (x *forwardedExchange) Recv() (chervilladder.Reply, error) {
	p, err := decodeForwardRequest(x.batch.Payload)
	if err == nil && len(p.Commands) == 0 {
		err = errEmptyBatch
	}
	if err != nil {
		return chervilladder.Reply{}, &chervilladder.NotRunError{Database: x.session.db, Reason: chervilladder.ReasonCancelled, Err: err}
	}
	s := x.session
	began := time.Now()
	s.pinned, s.values, s.prepared = &p.Route, p.Values, p.Prepared
	var r chervilladder.Result
	for _, c := range p.Commands {
		if r = s.Do(x.ctx, c); r.Code != chervilladder.CodeNone {
			break
		}
	}
	payload, err := encode(x.response(&p.Route, r, time.Since(began)))
	if err != nil {
		return chervilladder.Reply{}, &chervilladder.UnknownError{Database: s.db, Err: err}
	}
	return chervilladder.Reply{Payload: payload, Last: true, Open: r.State != chervilladder.StateIdle, Seen: r.Mark, Upstream: s.lastUpstream}, nil
}

// response returns the answer, with what this VM reports about itself.
func (x *forwardedExchange) response(route *chervilladder.Route, r chervilladder.Result, took time.Duration) forwardResponse {
	s := x.session
	c := s.m.c.Board.Clusters.Get(route.Service)
	response := forwardResponse{
		Result: r, Upstream: s.lastUpstream,
		Took: max(took, 1),
		Wait: c.Queue.Backlog(route.Priority, x.access),
	}
	if r.Code != chervilladder.CodeNone {
		response.Refused, response.NoPrimary = s.refused, s.m.checkReachable(s.db, c) != nil
	}
	return response
}

// Cancel does nothing: a statement that was sent runs to its end.
func (x *forwardedExchange) Cancel() {}

// Close ends this part of the session; an open transaction is rolled back.
func (x *forwardedExchange) Close() { x.session.Close() }
