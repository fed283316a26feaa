package clustertest

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Record is an in-memory leadership record: it says which VM may order
// promotions.
type Record struct {
	mu      sync.Mutex
	current chervilladder.Leadership
}

// ErrCut is the error of a simulated network partition.
var ErrCut = errors.New("clustertest: unreachable")

func (r *Record) read() chervilladder.Leadership {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *Record) write(l chervilladder.Leadership) (chervilladder.Leadership, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Revision != r.current.Revision {
		return l, &chervilladder.LeadershipConflictError{Current: r.current}
	}
	if l == r.current {
		return l, nil // like the platform's store: a write without a change makes no revision
	}
	l.Revision++
	r.current = l
	return l, nil
}

// CutRecord is a VM's access to the record, with simulated faults.
type CutRecord struct {
	Record *Record
	// Off makes the record unreachable. LoseAnswers makes writes take effect
	// but lose their responses.
	Off, LoseAnswers atomic.Bool
	written          hook[chervilladder.Leadership]
}

// OnWrite sets a function that is called after each write.
func (c *CutRecord) OnWrite(f func(chervilladder.Leadership)) { c.written.set(f) }

// hook is a function that a test can set while the VMs run.
type hook[T any] struct{ f atomic.Pointer[func(T)] }

func (h *hook[T]) set(f func(T)) { h.f.Store(&f) }

func (h *hook[T]) call(v T) {
	if f := h.f.Load(); f != nil {
		(*f)(v)
	}
}

var _ chervilladder.LeadershipRecord = (*CutRecord)(nil)

// Read returns the record.
func (c *CutRecord) Read(context.Context) (chervilladder.Leadership, error) {
	if c.Off.Load() {
		return chervilladder.Leadership{}, ErrCut
	}
	return c.Record.read(), nil
}

// Write replaces the record.
func (c *CutRecord) Write(_ context.Context, l chervilladder.Leadership) (chervilladder.Leadership, error) {
	if c.Off.Load() {
		return l, ErrCut
	}
	written, err := c.Record.write(l)
	c.written.call(written)
	if c.LoseAnswers.Load() {
		return l, ErrCut
	}
	return written, err
}

// CutPromoter is a VM's promoter, with simulated faults.
type CutPromoter struct {
	Promoter chervilladder.Promoter
	// LoseAnswers makes orders take effect but lose their responses.
	LoseAnswers atomic.Bool
	ordered     hook[chervilladder.UpstreamID]
}

// OnOrder sets a function that is called after each order.
func (p *CutPromoter) OnOrder(f func(chervilladder.UpstreamID)) { p.ordered.set(f) }

// Promote orders a promotion.
func (p *CutPromoter) Promote(ctx context.Context, l chervilladder.Leadership, s chervilladder.ServiceID, u chervilladder.UpstreamID) error {
	err := p.Promoter.Promote(ctx, l, s, u)
	p.ordered.call(u)
	if p.LoseAnswers.Load() {
		return ErrCut
	}
	return err
}

// Cut is a VM's linker to the members, with simulated faults.
type Cut struct {
	Linker   chervilladder.Linker
	mu       sync.Mutex
	off      map[chervilladder.UpstreamID]bool
	full     map[chervilladder.UpstreamID]bool
	onStatus func(chervilladder.UpstreamID, chervilladder.Command)
}

// OnStatus sets a function that is called before each status command.
func (c *Cut) OnStatus(f func(chervilladder.UpstreamID, chervilladder.Command)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStatus = f
}

func (c *Cut) status(id chervilladder.UpstreamID, cmd chervilladder.Command) {
	c.mu.Lock()
	f := c.onStatus
	c.mu.Unlock()
	if f != nil {
		f(id, cmd)
	}
}

// Off makes members unreachable for the VM, or reachable again.
func (c *Cut) Off(cut bool, ids ...chervilladder.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.off == nil {
		c.off = make(map[chervilladder.UpstreamID]bool)
	}
	for _, id := range ids {
		c.off[id] = cut
	}
}

// Full makes members reject the VM's connections because their limit is reached,
// or accept them again.
func (c *Cut) Full(full bool, ids ...chervilladder.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full == nil {
		c.full = make(map[chervilladder.UpstreamID]bool)
	}
	for _, id := range ids {
		c.full[id] = full
	}
}

func (c *Cut) isFull(id chervilladder.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.full[id]
}

func (c *Cut) isOff(id chervilladder.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off[id]
}

// Open opens a link that gets no responses while the member is unreachable. It
// blocks until the context ends if the member is unreachable already.
func (c *Cut) Open(ctx context.Context, u chervilladder.Registered) (chervilladder.Link, error) {
	if c.isOff(u.ID) {
		<-ctx.Done()
		return nil, &chervilladder.UpstreamLostError{Upstream: u.ID, Err: ErrCut}
	}
	if c.isFull(u.ID) {
		return nil, &chervilladder.LinkRefusedError{Upstream: u.ID, Code: chervilladder.CodeConnectionLimit}
	}
	l, err := c.Linker.Open(ctx, u)
	if err != nil {
		return nil, err
	}
	return &faultyLink{Link: l, linker: c, id: u.ID}, nil
}

type faultyLink struct {
	chervilladder.Link
	linker *Cut
	id     chervilladder.UpstreamID
}

// waitIfCut waits until the deadline and returns an error if the member is
// unreachable.
func (l *faultyLink) waitIfCut(deadline time.Time) error {
	if !l.linker.isOff(l.id) {
		return nil
	}
	time.Sleep(time.Until(deadline))
	return &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrCut}
}

// Send sends commands, which are lost if the member is unreachable.
func (l *faultyLink) Send(deadline time.Time, commands ...chervilladder.Command) error {
	if l.linker.isOff(l.id) {
		return nil // the bytes are lost on the network
	}
	return l.Link.Send(deadline, commands...)
}

// Receive receives a response, or times out if the member is unreachable.
func (l *faultyLink) Receive(deadline time.Time) (chervilladder.Result, error) {
	if err := l.waitIfCut(deadline); err != nil {
		return chervilladder.Result{}, err
	}
	return l.Link.Receive(deadline)
}

// Status sends a status command. It times out if the member is unreachable, and
// fails if the member's connection limit is reached.
func (l *faultyLink) Status(deadline time.Time, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	if err := l.waitIfCut(deadline); err != nil {
		return chervilladder.LinkStatus{}, err
	}
	if l.linker.isFull(l.id) {
		return chervilladder.LinkStatus{}, &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrCut}
	}
	l.linker.status(l.id, c)
	return l.Link.Status(deadline, c)
}
