package clustertest

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// LeadershipRecord is an in-memory leadership record: it says which VM may order
// promotions.
type LeadershipRecord struct {
	mu      sync.Mutex
	current chervilladder.Leadership
	// era is the store's; zero while it tells none.
	era chervilladder.Era
}

// Copy returns the record as it is now, to be restored later.
func (r *LeadershipRecord) Copy() chervilladder.Leadership { return r.read() }

// Restore brings the record back from a copy, as the store does in a new era.
func (r *LeadershipRecord) Restore(c chervilladder.Leadership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = c
	r.era++
}

// ErrSimulated is the error of the simulated faults: of what is unreachable, of a
// lost response, of a reached connection limit and of an unknown VM.
var ErrSimulated = errors.New("clustertest: simulated fault")

func (r *LeadershipRecord) read() chervilladder.Leadership {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told()
}

// told returns the record as the store tells it now.
func (r *LeadershipRecord) told() chervilladder.Leadership {
	l := r.current
	l.Revision.Era = r.era
	return l
}

func (r *LeadershipRecord) write(l chervilladder.Leadership) (chervilladder.Leadership, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Revision.Revision != r.current.Revision.Revision { // the store's condition names no era
		return l, &chervilladder.LeadershipConflictError{Current: r.told()}
	}
	l.Revision.Era = r.current.Revision.Era
	if l != r.current { // like the platform's store: a write without a change doesn't increase the revision
		l.Revision.Revision++
		r.current = l
	}
	return r.told(), nil
}

// FaultyRecord is a VM's access to the record, with simulated faults.
type FaultyRecord struct {
	Record *LeadershipRecord
	// Unreachable makes the record unreachable. LoseResponses makes writes take
	// effect but lose their responses.
	Unreachable, LoseResponses atomic.Bool
	written                    hook[chervilladder.Leadership]
	process                    *process
}

// OnWrite sets a function that is called after each write that reaches the record.
// After a conflict it gets the rejected value, which was not written.
func (r *FaultyRecord) OnWrite(f func(chervilladder.Leadership)) { r.written.set(f) }

// hook is a function that a test can set while the VMs run.
type hook[T any] struct{ f atomic.Pointer[func(T)] }

func (h *hook[T]) set(f func(T)) { h.f.Store(&f) }

func (h *hook[T]) call(v T) {
	if f := h.f.Load(); f != nil {
		(*f)(v)
	}
}

var _ chervilladder.LeadershipRecord = (*FaultyRecord)(nil)

// ReadLeadership returns the record.
func (r *FaultyRecord) ReadLeadership(ctx context.Context) (chervilladder.Leadership, error) {
	if !r.process.runs(ctx) || r.Unreachable.Load() {
		return chervilladder.Leadership{}, ErrSimulated
	}
	return r.Record.read(), nil
}

// WriteLeadership replaces the record.
func (r *FaultyRecord) WriteLeadership(ctx context.Context, l chervilladder.Leadership) (chervilladder.Leadership, error) {
	if !r.process.runs(ctx) || r.Unreachable.Load() {
		return l, ErrSimulated
	}
	written, err := r.Record.write(l)
	r.written.call(written)
	if !r.process.runs(ctx) || r.LoseResponses.Load() {
		return l, ErrSimulated
	}
	return written, err
}

// FaultyPromoter is a VM's promoter, with simulated faults.
type FaultyPromoter struct {
	Promoter chervilladder.Promoter
	// LoseResponses makes orders take effect but lose their responses.
	LoseResponses atomic.Bool
	// Unavailable makes orders fail without an effect, like a 503 of the platform.
	Unavailable atomic.Bool
	// Delay is how long an order is on its way, in nanoseconds. The order is carried out
	// also if the VM has given up on it by then.
	Delay   atomic.Int64
	ordered hook[chervilladder.UpstreamID]
	process *process
}

// OnOrder sets a function that is called after each order.
func (p *FaultyPromoter) OnOrder(f func(chervilladder.UpstreamID)) { p.ordered.set(f) }

// Promote orders a promotion.
func (p *FaultyPromoter) Promote(ctx context.Context, l chervilladder.Leadership, s chervilladder.ServiceID, u chervilladder.UpstreamID) error {
	if !p.process.runs(ctx) {
		return ErrSimulated
	}
	if p.Unavailable.Load() {
		p.ordered.call(u)
		return ErrSimulated
	}
	if d := time.Duration(p.Delay.Load()); d > 0 {
		return p.promoteLate(ctx, d, u, func() error { return p.Promoter.Promote(ctx, l, s, u) })
	}
	err := p.Promoter.Promote(ctx, l, s, u)
	p.ordered.call(u)
	if !p.process.runs(ctx) || p.LoseResponses.Load() {
		return ErrSimulated
	}
	return err
}

// promoteLate carries an order out after a time, and waits for that until the context ends.
func (p *FaultyPromoter) promoteLate(ctx context.Context, d time.Duration, u chervilladder.UpstreamID, order func() error) error {
	answered := make(chan error, 1)
	time.AfterFunc(d, func() { answered <- order() })
	p.ordered.call(u)
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FaultyLinker is a VM's linker to the members, with simulated faults.
type FaultyLinker struct {
	Linker      chervilladder.Linker
	mu          sync.Mutex
	unreachable map[chervilladder.UpstreamID]bool
	full        map[chervilladder.UpstreamID]bool
	onStatus    func(chervilladder.UpstreamID, chervilladder.Command)
	received    hook[chervilladder.UpstreamID]
	process     *process
}

// OnReceive sets a function that is called after each response to a session's command.
func (fl *FaultyLinker) OnReceive(f func(chervilladder.UpstreamID)) { fl.received.set(f) }

// OnStatus sets a function that is called before each status command.
func (fl *FaultyLinker) OnStatus(f func(chervilladder.UpstreamID, chervilladder.Command)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.onStatus = f
}

func (fl *FaultyLinker) status(id chervilladder.UpstreamID, cmd chervilladder.Command) {
	fl.mu.Lock()
	f := fl.onStatus
	fl.mu.Unlock()
	if f != nil {
		f(id, cmd)
	}
}

// SetUnreachable makes members unreachable for the VM, or reachable again.
func (fl *FaultyLinker) SetUnreachable(unreachable bool, ids ...chervilladder.UpstreamID) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.unreachable == nil {
		fl.unreachable = make(map[chervilladder.UpstreamID]bool)
	}
	for _, id := range ids {
		fl.unreachable[id] = unreachable
	}
}

// SetFull makes members reject the VM's connections because their limit is
// reached, or accept them again.
func (fl *FaultyLinker) SetFull(full bool, ids ...chervilladder.UpstreamID) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.full == nil {
		fl.full = make(map[chervilladder.UpstreamID]bool)
	}
	for _, id := range ids {
		fl.full[id] = full
	}
}

func (fl *FaultyLinker) isFull(id chervilladder.UpstreamID) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.full[id]
}

func (fl *FaultyLinker) isUnreachable(id chervilladder.UpstreamID) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.unreachable[id]
}

// Open opens a link that gets no responses while the member is unreachable. It
// blocks until the context ends if the member is unreachable already.
func (fl *FaultyLinker) Open(ctx context.Context, u chervilladder.Registered, account chervilladder.AccountID) (chervilladder.Link, error) {
	if !fl.process.runs(ctx) || fl.isUnreachable(u.ID) {
		<-ctx.Done()
		return nil, &chervilladder.UpstreamLostError{Upstream: u.ID, Err: ErrSimulated}
	}
	if fl.isFull(u.ID) {
		return nil, &chervilladder.LinkRefusedError{Upstream: u.ID, Code: chervilladder.CodeConnectionLimit}
	}
	l, err := fl.Linker.Open(ctx, u, account)
	if err != nil {
		return nil, err
	}
	return &faultyLink{Link: l, linker: fl, id: u.ID}, nil
}

type faultyLink struct {
	chervilladder.Link
	linker *FaultyLinker
	id     chervilladder.UpstreamID
	// status is set while the last command sent was a status command or a reset after one.
	status bool
}

// waitWhileUnreachable waits until the deadline and returns an error if the
// member is unreachable.
func (l *faultyLink) waitWhileUnreachable(deadline time.Time) error {
	if l.linker.process.runsBefore(deadline) && !l.linker.isUnreachable(l.id) {
		return nil
	}
	time.Sleep(time.Until(deadline))
	return &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrSimulated}
}

// Send sends commands, which are lost if the member is unreachable. A status command
// fails if the member's connection limit is reached.
func (l *faultyLink) Send(deadline time.Time, commands ...chervilladder.Command) error {
	if !l.linker.process.runsBefore(deadline) || l.linker.isUnreachable(l.id) {
		return nil // the bytes are lost on the network
	}
	for _, c := range commands {
		l.status = c.Kind.ReturnsStatus() || l.status && c.Kind == chervilladder.CommandReset
		if !c.Kind.ReturnsStatus() {
			continue
		}
		if l.linker.isFull(l.id) {
			return &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrSimulated}
		}
		l.linker.status(l.id, c)
	}
	return l.Link.Send(deadline, commands...)
}

// Receive receives a response, or times out if the member is unreachable.
func (l *faultyLink) Receive(deadline time.Time) (chervilladder.Result, error) {
	if err := l.waitWhileUnreachable(deadline); err != nil {
		return chervilladder.Result{}, err
	}
	r, err := l.Link.Receive(deadline)
	if !l.status {
		l.linker.received.call(l.id)
		return r, err
	}
	if !l.linker.process.runs(context.Background()) {
		return chervilladder.Result{}, &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrSimulated}
	}
	return r, err
}
