package link

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
)

// fullFor is how long no connection is opened after the upstream refused one
// for its connection limit.
const fullFor = 250 * time.Millisecond

// usageLevels are the levels of an upstream's connections in use, highest first. Once all
// VMs together have at least percent of them open, a connection that has been idle for
// minIdle is closed, to leave it to other VMs. At nearLimitPercent and above, that may
// be the VM's only connection, and a VM that has one opens no more.
var usageLevels = []struct {
	percent int
	minIdle time.Duration
}{
	{percent: 85, minIdle: 700 * time.Millisecond},
	{percent: 65, minIdle: 2 * time.Second},
	{percent: 45, minIdle: 6 * time.Second},
}

const nearLimitPercent = 85

// openTimeout bounds the opening of one connection.
const openTimeout = 700 * time.Millisecond

// ErrFull reports a pool in which no connection became available in time.
var ErrFull = errors.New("link: no connection became available in time")

// ErrRetired reports the pool of an upstream that gets no more work.
var ErrRetired = errors.New("link: the pool is retired: the upstream has left or registered anew")

// Pool keeps the connections to one upstream.
type Pool struct {
	upstream chervilladder.Registered
	linker   chervilladder.Linker
	log      *logrus.Logger
	// repeatedAt is when the upstream last repeated an answer, in nanoseconds since
	// 1970; zero if it never did.
	repeatedAt atomic.Int64

	mu   sync.Mutex
	idle []*Conn
	// open counts the connections that exist or are being opened; limit is their
	// maximum.
	open, limit int
	waiters     []chan *Conn
	retired     bool
	// fullUntil is the end of the wait after the upstream refused a connection for
	// its limit. nearLimit is set while it has few left for all VMs together.
	fullUntil time.Time
	nearLimit bool
}

// waryFor is how long an upstream counts as one that repeats answers.
const waryFor = time.Minute

func (p *Pool) noteRepeat(now time.Time) { p.repeatedAt.Store(now.UnixNano()) }

func (p *Pool) repeatsAnswers(now time.Time) bool {
	at := p.repeatedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < waryFor
}

// Dedicated returns a connection that belongs to no pool; releasing it closes it.
func Dedicated(l chervilladder.Link) *Conn { return &Conn{link: l} }

// Get returns a connection, preferably an idle one with the given values. Its error is
// ErrFull, ErrRetired, an *UpstreamLostError or a *LinkRefusedError; in all cases nothing
// but the start-up message was sent.
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
	case p.mayOpen():
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	p.mu.Unlock()
	return p.await(ctx)
}

// mayOpen reports whether one more connection may be opened. A VM that has none always
// tries.
func (p *Pool) mayOpen() bool {
	return p.open == 0 || p.open < p.limit && !p.nearLimit && time.Now().After(p.fullUntil)
}

// OpenNew opens a new connection, even if others are idle or the limit is reached.
func (p *Pool) OpenNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return nil, ErrRetired
	}
	p.open++
	p.mu.Unlock()
	l, err := p.linker.Open(ctx, p.upstream)
	if err != nil {
		p.countClosed()
		return nil, err
	}
	return &Conn{link: l, pool: p}, nil
}

// await waits until a connection is returned or another one may be opened, or until the
// pool is retired.
func (p *Pool) await(ctx context.Context) (*Conn, error) {
	wait := make(chan *Conn, 1)
	p.mu.Lock()
	p.waiters = append(p.waiters, wait)
	p.mu.Unlock()
	select {
	case c := <-wait:
		if c == nil {
			return p.Get(ctx, nil)
		}
		return c, nil
	case <-ctx.Done():
		p.stopWaiting(wait)
		return nil, ErrFull
	}
}

// takeIdle takes the idle connection that has the same values, or else the one used
// last.
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
	if err == nil {
		return &Conn{link: l, pool: p}, nil
	}
	var refused *chervilladder.LinkRefusedError
	full := errors.As(err, &refused) && refused.Code == chervilladder.CodeConnectionLimit
	if full {
		p.noteFull()
	}
	if p.countClosed() && full {
		return p.await(ctx)
	}
	return nil, err
}

// noteFull records that the upstream has reached its connection limit.
func (p *Pool) noteFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil = time.Now().Add(fullFor)
}

// countClosed counts a connection as closed and lets a waiter open another one. It
// reports whether connections are left.
func (p *Pool) countClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if len(p.waiters) > 0 {
		p.waiters[0] <- nil
		p.waiters = p.waiters[1:]
	}
	return p.open > 0
}

func (p *Pool) stopWaiting(wait chan *Conn) {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	// The waiter was served at the same time.
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
	c.returnedAt = time.Now()
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *Conn) {
	c.link.Close()
	p.countClosed()
}

// DiscardOlder closes the idle connections that were last used before a time. A
// connection on which a command was sent at that time hasn't answered, and the older
// ones may have been lost with it.
func (p *Pool) DiscardOlder(than time.Time) {
	p.mu.Lock()
	var older, kept []*Conn
	for _, c := range p.idle {
		if c.returnedAt.Before(than) {
			older = append(older, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range older {
		p.discard(c)
	}
}

// SetUsage sets the percentage of the upstream's connections that are open, and closes at
// most one idle connection.
func (p *Pool) SetUsage(percent int) {
	p.mu.Lock()
	p.nearLimit = percent >= nearLimitPercent
	var c *Conn
	for _, level := range usageLevels {
		if percent < level.percent {
			continue
		}
		if i := p.longestIdle(level.minIdle); i >= 0 && (p.nearLimit || p.open > 1) {
			c = p.idle[i]
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
		}
		break
	}
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

// longestIdle returns the index of the connection that did no work for the longest
// time, or -1 if that is shorter than minIdle.
func (p *Pool) longestIdle(minIdle time.Duration) int {
	best := -1
	for i, c := range p.idle {
		if time.Since(c.sessionUsedAt) >= minIdle && (best < 0 || c.sessionUsedAt.Before(p.idle[best].sessionUsedAt)) {
			best = i
		}
	}
	return best
}

// Retire closes all idle connections, and each other one when it is returned.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	waiters, idle := p.waiters, p.idle
	p.waiters, p.idle = nil, nil
	p.mu.Unlock()
	for _, w := range waiters {
		w <- nil
	}
	for _, c := range idle {
		p.discard(c)
	}
}
