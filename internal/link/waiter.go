package link

import (
	"context"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxPassedOver is how long later waiters may be served before the first one because a
// returned connection is of their account. Connections of the same account can be handed over as they are; for another
// account, one is closed and one opened.
const maxPassedOver = 50 * time.Millisecond

// waiter waits for a connection of an account.
type waiter struct {
	account chervilladder.AccountID
	since   time.Time
	served  chan grant
}

// grant is what a waiter gets: a connection, or the right to open one that is counted
// already. The zero grant tells it to try again.
type grant struct {
	conn    *Conn
	mayDial bool
}

// enqueue adds a waiter. The pool's lock is held.
func (p *Pool) enqueue(account chervilladder.AccountID) *waiter {
	w := &waiter{account: account, since: time.Now(), served: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	return w
}

// await waits until a connection is returned or another one may be opened, or until the
// pool is retired.
func (p *Pool) await(ctx context.Context, w *waiter) (*Conn, error) {
	select {
	case g := <-w.served:
		switch {
		case g.conn != nil:
			return g.conn, nil
		case g.mayDial:
			return p.dial(ctx, w.account)
		default:
			return p.Get(ctx, w.account, nil)
		}
	case <-ctx.Done():
		p.stopWaiting(w)
		return nil, ErrFull
	}
}

// waiterFor returns the first waiter of a returned connection's account. It returns nil if
// there is none, or if another account's waiter has been passed over for too long: then
// the connection is to be closed and one opened in its place.
func (p *Pool) waiterFor(c *Conn) *waiter {
	for i, w := range p.waiters {
		if w.account == c.account {
			return w
		}
		if i == 0 && time.Since(w.since) > maxPassedOver && !p.keeps(c) {
			return nil
		}
	}
	return nil
}

// serve removes a waiter and gives it a grant. The pool's lock is held.
func (p *Pool) serve(w *waiter, g grant) {
	p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	w.served <- g
}

// stopWaiting removes a waiter. What it was given in the meantime is returned to the pool.
func (p *Pool) stopWaiting(w *waiter) {
	p.mu.Lock()
	waiting := slices.Contains(p.waiters, w)
	if waiting {
		p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	}
	p.mu.Unlock()
	if waiting {
		return
	}
	switch g := <-w.served; {
	case g.conn != nil:
		p.put(g.conn)
	case g.mayDial:
		p.countClosed(w.account)
	default:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeNext()
	}
}

// wakeNext tells the first waiter to try again. The pool's lock is held.
func (p *Pool) wakeNext() {
	if len(p.waiters) > 0 {
		p.serve(p.waiters[0], grant{})
	}
}
