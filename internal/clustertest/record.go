package clustertest

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Record is a duty record in memory.
type Record struct {
	mu      sync.Mutex
	current chervilladder.Duty
}

// ErrCut is what a VM gets that is cut off.
var ErrCut = errors.New("clustertest: cut off")

func (r *Record) read() chervilladder.Duty {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *Record) write(d chervilladder.Duty) (chervilladder.Duty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Revision != r.current.Revision {
		return d, &chervilladder.DutyConflictError{Current: r.current}
	}
	if d == r.current {
		return d, nil // the store takes what changes nothing for no write
	}
	d.Revision++
	r.current = d
	return d, nil
}

// CutRecord is a VM's way to the record.
type CutRecord struct {
	Record *Record
	// Off cuts the VM off, and LoseAnswers loses the answers of writes that
	// are made all the same.
	Off, LoseAnswers atomic.Bool
	written          hook[chervilladder.Duty]
}

// OnWrite has a function called after each write.
func (c *CutRecord) OnWrite(f func(chervilladder.Duty)) { c.written.set(f) }

// hook is a function that a test sets while VMs run.
type hook[T any] struct{ f atomic.Pointer[func(T)] }

func (h *hook[T]) set(f func(T)) { h.f.Store(&f) }

func (h *hook[T]) call(v T) {
	if f := h.f.Load(); f != nil {
		(*f)(v)
	}
}

var _ chervilladder.DutyRecord = (*CutRecord)(nil)

// Read returns the record.
func (c *CutRecord) Read(context.Context) (chervilladder.Duty, error) {
	if c.Off.Load() {
		return chervilladder.Duty{}, ErrCut
	}
	return c.Record.read(), nil
}

// Write replaces the record.
func (c *CutRecord) Write(_ context.Context, d chervilladder.Duty) (chervilladder.Duty, error) {
	if c.Off.Load() {
		return d, ErrCut
	}
	written, err := c.Record.write(d)
	c.written.call(written)
	if c.LoseAnswers.Load() {
		return d, ErrCut
	}
	return written, err
}

// CutPromoter is a VM's way to order promotions.
type CutPromoter struct {
	Promoter chervilladder.Promoter
	// LoseAnswers loses the answers of orders that are taken all the same.
	LoseAnswers atomic.Bool
	ordered     hook[chervilladder.UpstreamID]
}

// OnOrder has a function called after each order was taken.
func (p *CutPromoter) OnOrder(f func(chervilladder.UpstreamID)) { p.ordered.set(f) }

// Promote orders a promotion.
func (p *CutPromoter) Promote(ctx context.Context, d chervilladder.Duty, s chervilladder.ServiceID, u chervilladder.UpstreamID) error {
	err := p.Promoter.Promote(ctx, d, s, u)
	p.ordered.call(u)
	if p.LoseAnswers.Load() {
		return ErrCut
	}
	return err
}

// Cut is a VM's way to the members.
type Cut struct {
	Linker   chervilladder.Linker
	mu       sync.Mutex
	off      map[chervilladder.UpstreamID]bool
	full     map[chervilladder.UpstreamID]bool
	onStatus func(chervilladder.UpstreamID, chervilladder.Command)
}

// OnStatus has a function called before each question or order.
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

// Off cuts the VM off from members, or heals that.
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

// Full has members refuse the VM as one connection too many, or heals that.
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

// Open opens a link that falls silent while the VM is cut off.
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
	return &cutLink{Link: l, cut: c, id: u.ID}, nil
}

type cutLink struct {
	chervilladder.Link
	cut *Cut
	id  chervilladder.UpstreamID
}

func (l *cutLink) silent(deadline time.Time) error {
	if !l.cut.isOff(l.id) {
		return nil
	}
	time.Sleep(time.Until(deadline))
	return &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrCut}
}

// Send sends commands unless the VM is cut off.
func (l *cutLink) Send(deadline time.Time, commands ...chervilladder.Command) error {
	if l.cut.isOff(l.id) {
		return nil // the bytes get lost on their way
	}
	return l.Link.Send(deadline, commands...)
}

// Receive receives an answer unless the VM is cut off.
func (l *cutLink) Receive(deadline time.Time) (chervilladder.Result, error) {
	if err := l.silent(deadline); err != nil {
		return chervilladder.Result{}, err
	}
	return l.Link.Receive(deadline)
}

// Status asks unless the VM is cut off.
func (l *cutLink) Status(deadline time.Time, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	if err := l.silent(deadline); err != nil {
		return chervilladder.LinkStatus{}, err
	}
	if l.cut.isFull(l.id) {
		return chervilladder.LinkStatus{}, &chervilladder.UpstreamLostError{Upstream: l.id, Sent: true, Err: ErrCut}
	}
	l.cut.status(l.id, c)
	return l.Link.Status(deadline, c)
}
