package link

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// openTimeout bounds the opening of one connection.
const openTimeout = 700 * time.Millisecond

// ErrFull reports a pool in which no connection came free in time.
var ErrFull = errors.New("link: no connection came free")

// ErrRetired reports the pool of an upstream that gets no more work.
var ErrRetired = errors.New("link: the upstream is gone")

// Pool keeps the connections to one upstream.
type Pool struct {
	upstream chervilladder.Registered
	linker   chervilladder.Linker

	mu   sync.Mutex
	idle []*Conn
	// open counts the connections that exist or are being opened, of which
	// there may be limit.
	open, limit int
	waiters     []chan *Conn
	retired     bool
}

func newPool(u chervilladder.Registered, linker chervilladder.Linker, limit int) *Pool {
	return &Pool{upstream: u, linker: linker, limit: limit}
}

// Get returns a connection, one with the given values if there is one idle.
// Its error is ErrFull, ErrRetired, an *UpstreamLostError or a
// *LinkRefusedError; none of them has sent anything but a greeting.
func (p *Pool) Get(ctx context.Context, values map[string]string) (*Conn, error) {
	p.mu.Lock()
	switch {
	case p.retired:
		p.mu.Unlock()
		return nil, ErrRetired
	case len(p.idle) > 0:
		c := p.takeIdle(values)
		p.mu.Unlock()
		return c, nil
	case p.open < p.limit:
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	wait := make(chan *Conn, 1)
	p.waiters = append(p.waiters, wait)
	p.mu.Unlock()
	select {
	case c := <-wait:
		if c == nil {
			return p.Get(ctx, values)
		}
		return c, nil
	case <-ctx.Done():
		p.giveUp(wait)
		return nil, ErrFull
	}
}

// takeIdle takes the idle connection that suits the values best: the same
// ones, or else the one used last.
func (p *Pool) takeIdle(values map[string]string) *Conn {
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if maps.Equal(p.idle[i].values, values) {
			at = i
			break
		}
	}
	c := p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	return c
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	l, err := p.linker.Open(ctx, p.upstream)
	if err != nil {
		p.forget()
		return nil, err
	}
	return &Conn{Link: l, pool: p}, nil
}

// forget counts a connection as closed and lets a waiter open another one.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if len(p.waiters) > 0 {
		p.waiters[0] <- nil
		p.waiters = p.waiters[1:]
	}
}

func (p *Pool) giveUp(wait chan *Conn) {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	// It was served meanwhile.
	if c := <-wait; c != nil {
		p.put(c)
	}
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	if p.retired || p.open > p.limit {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	defer p.mu.Unlock()
	c.usedAt = time.Now()
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *Conn) {
	c.Close()
	p.forget()
}

// SetLimit changes how many connections the pool may have.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// DiscardIdle closes the idle connections, after one of the pool was found
// silent or reset: those of the same path may have ended like it.
func (p *Pool) DiscardIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Retire closes all idle connections, and each other one once it is idle.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	waiters := p.waiters
	p.waiters = nil
	p.mu.Unlock()
	for _, w := range waiters {
		w <- nil
	}
	p.DiscardIdle()
}
