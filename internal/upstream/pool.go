package upstream

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// dialTimeout bounds the opening of one connection.
const dialTimeout = 2 * time.Second

// Pool keeps idle connections to one upstream for reuse.
type Pool struct {
	upstream chervilladder.Upstream

	mu   sync.Mutex
	idle []*Conn
	// retired is set once connections are closed rather than kept.
	retired bool
}

// NewPool returns an empty pool for an upstream. The pool of a leaving upstream keeps no
// connections.
func NewPool(u chervilladder.Upstream) *Pool {
	return &Pool{upstream: u, retired: u.Leaving}
}

// serves reports whether the pool fits an upstream's current configuration.
func (p *Pool) serves(u chervilladder.Upstream) bool {
	return p.upstream.Address == u.Address && p.upstream.Leaving == u.Leaving
}

// Get returns a connection that is bound to a claim, or unbound if the claim
// is zero. Connections bound to another claim are closed.
func (p *Pool) Get(ctx context.Context, claim chervilladder.Claim) (*Conn, error) {
	for {
		c := p.take()
		if c == nil {
			return p.open(ctx, claim)
		}
		if c.claim == claim && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

// Put returns a connection to the pool. It must be outside of a transaction and have
// nothing left to read.
func (p *Pool) Put(c *Conn) {
	if c.cancelled || c.tooManyPrepared() || c.upstream.Address != p.upstream.Address {
		c.Close()
		return
	}
	c.setDeadline(time.Time{})
	c.idleSince = time.Now()
	if !p.keep(c) {
		c.Close()
	}
}

func (p *Pool) keep(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// Retire closes all idle connections, and each other one when it is returned.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes all idle connections, for instance when one didn't answer.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *Pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) open(ctx context.Context, claim chervilladder.Claim) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dial(ctx, p.upstream)
	if err != nil {
		return nil, err
	}
	if claim == 0 {
		return c, nil
	}
	if err := c.bind(ctx, claim); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// probeAfter is the idle time from which a connection is probed before its next use.
const probeAfter = 250 * time.Millisecond

// probe checks that an idle connection still carries messages both ways: one whose
// network flow was dropped reports no error but doesn't answer.
func (c *Conn) probe() error {
	if c.idleSince.IsZero() || time.Since(c.idleSince) < probeAfter {
		return nil
	}
	out, err := (&pgproto3.Sync{}).Encode(c.appendMarker(nil))
	if err != nil {
		return err
	}
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(false, err)
	}
	for {
		m, err := c.readAnswer(nil)
		if err != nil {
			return c.lost(false, err)
		}
		if m[0] == 'Z' {
			return nil
		}
	}
}

// quiet reports whether the upstream has neither closed the connection nor
// sent anything while it was idle.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && peekErr == syscall.EAGAIN
}
