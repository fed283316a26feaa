package link

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// fullFor is how long no connection is opened after the upstream refused one
// because it has too many.
const fullFor = 250 * time.Millisecond

// Crowding is how many of an upstream's connections all VMs have open, in
// percent. From the given share on, a connection that did no work for the time
// beside it is closed in favour of other VMs; from crowdedPercent on, that may be
// the VM's only one, and a VM that has one opens no more.
var crowding = []struct {
	percent int
	resting time.Duration
}{
	{percent: 85, resting: 700 * time.Millisecond},
	{percent: 65, resting: 2 * time.Second},
	{percent: 45, resting: 6 * time.Second},
}

const crowdedPercent = 85

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
	// fullUntil is until when the upstream is taken to accept no more
	// connections, crowded whether it has few left for all VMs together.
	fullUntil time.Time
	crowded   bool
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
	case p.mayOpen():
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	p.mu.Unlock()
	return p.await(ctx)
}

// mayOpen reports whether one more connection may be opened. A VM without any
// always tries.
func (p *Pool) mayOpen() bool {
	return p.open == 0 || p.open < p.limit && !p.crowded && time.Now().After(p.fullUntil)
}

// Fresh opens a connection beside those that there are.
func (p *Pool) Fresh(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return nil, ErrRetired
	}
	p.open++
	p.mu.Unlock()
	l, err := p.linker.Open(ctx, p.upstream)
	if err != nil {
		p.forget()
		return nil, err
	}
	return &Conn{Link: l, pool: p}, nil
}

// await waits for a connection that another session gives back.
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
	if err == nil {
		return &Conn{Link: l, pool: p}, nil
	}
	var refused *chervilladder.LinkRefusedError
	full := errors.As(err, &refused) && refused.Code == chervilladder.CodeConnectionLimit
	if full {
		p.noteFull()
	}
	if p.forget() && full {
		return p.await(ctx)
	}
	return nil, err
}

// noteFull notes that the upstream accepts no more connections for now.
func (p *Pool) noteFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil = time.Now().Add(fullFor)
}

// forget counts a connection as closed and lets a waiter open another one. It
// reports whether connections are left.
func (p *Pool) forget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if len(p.waiters) > 0 {
		p.waiters[0] <- nil
		p.waiters = p.waiters[1:]
	}
	return p.open > 0
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

// DiscardOlder closes the idle connections that were last used before a time.
// One that was sent something then has not answered, and the others may have
// fallen silent with it.
func (p *Pool) DiscardOlder(than time.Time) {
	p.mu.Lock()
	var older, kept []*Conn
	for _, c := range p.idle {
		if c.usedAt.Before(than) {
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

// Crowd tells the pool how many percent of the upstream's connections are open.
// It closes at most one that rests.
func (p *Pool) Crowd(percent int) {
	p.mu.Lock()
	p.crowded = percent >= crowdedPercent
	var c *Conn
	for _, level := range crowding {
		if percent < level.percent {
			continue
		}
		if i := p.resting(level.resting); i >= 0 && (p.crowded || p.open > 1) {
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

// resting returns the idle connection that did no work for the longest time,
// if that is long enough, or -1.
func (p *Pool) resting(long time.Duration) int {
	best := -1
	for i, c := range p.idle {
		if time.Since(c.workedAt) >= long && (best < 0 || c.workedAt.Before(p.idle[best].workedAt)) {
			best = i
		}
	}
	return best
}

// Retire closes all idle connections, and each other one once it is idle.
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
