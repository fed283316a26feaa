package session

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Host runs what other VMs pass on. It implements chervilladder.Executor: an
// exchange carries a lone statement, or a transaction from its beginning.
type Host struct{ c HostConfig }

// HostConfig configures a Host.
type HostConfig struct {
	Manager *Manager
	// Leaving reports whether the VM leaves and takes no new work.
	Leaving func() bool
}

var _ chervilladder.Executor = (*Host)(nil)

// NewHost returns a host that runs work by a manager's means.
func NewHost(c HostConfig) (*Host, error) {
	if c.Manager == nil || c.Leaving == nil {
		return nil, errors.New("session: a host needs a manager, and to be told when the VM leaves")
	}
	return &Host{c: c}, nil
}

// Open begins the session's part at this VM.
func (h *Host) Open(ctx context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	if h.c.Leaving() {
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonDraining}
	}
	m := h.c.Manager
	if err := m.reachable(w.Database, m.c.Board.Clusters.Get(w.Service)); err != nil {
		return nil, err
	}
	if !m.c.Board.Hosting.Load().Here(w.Service) {
		h.note(w.Service)
	}
	s := &session{m: m, db: w.Database, caller: w.Caller, hosted: true}
	s.observe(w.Seen, m.c.Clock())
	return &hosted{ctx: ctx, session: s}, nil
}

// note has this VM host the service from now on.
func (h *Host) note(s chervilladder.ServiceID) {
	m := h.c.Manager
	m.c.Board.Asked.Update(func(old map[chervilladder.ServiceID]time.Time) map[chervilladder.ServiceID]time.Time {
		next := maps.Clone(old)
		if next == nil {
			next = make(map[chervilladder.ServiceID]time.Time)
		}
		next[s] = m.c.Clock()
		return next
	})
}

// hosted is a session's part at the VM that hosts the service.
type hosted struct {
	ctx     context.Context
	session *session
	batch   chervilladder.Batch
}

// Send takes over what is to be run.
func (x *hosted) Send(b chervilladder.Batch) error {
	x.batch = b
	return nil
}

// errNothingPassed reports a batch without a command.
var errNothingPassed = errors.New("session: nothing to run was passed on")

// Recv runs it and returns the result of the last command that was run.
func (x *hosted) Recv() (chervilladder.Reply, error) {
	p, err := decodePassed(x.batch.Payload)
	if err == nil && len(p.Commands) == 0 {
		err = errNothingPassed
	}
	if err != nil {
		return chervilladder.Reply{}, &chervilladder.NotRunError{Database: x.session.db, Reason: chervilladder.ReasonCancelled, Err: err}
	}
	s := x.session
	s.pinned, s.values, s.prepared = &p.Route, p.Values, p.Prepared
	var r chervilladder.Result
	for _, c := range p.Commands {
		if r = s.Do(x.ctx, c); r.Code != chervilladder.CodeNone {
			break
		}
	}
	payload, err := encode(returned{Result: r, Upstream: s.answered})
	if err != nil {
		return chervilladder.Reply{}, &chervilladder.UnknownError{Database: s.db, Err: err}
	}
	return chervilladder.Reply{Payload: payload, Last: true, Open: r.State != chervilladder.StateIdle, Seen: r.Mark, Upstream: s.answered}, nil
}

// Cancel does nothing: a statement that was sent is answered.
func (x *hosted) Cancel() {}

// Close ends the session's part; an open transaction is rolled back.
func (x *hosted) Close() { x.session.Close() }
