package link

import (
	"context"
	"errors"
	"maps"
	"slices"
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
	// maximum. unnamed counts those of them that name no client account.
	open, limit, unnamed int
	waiters              []*waiter
	retired              bool
	// fullUntil is the end of the wait after the upstream refused a connection for
	// its limit. nearLimit is set while it has few left for all VMs together.
	fullUntil time.Time
	nearLimit bool
}

// waryFor is how long an upstream counts as one that repeats answers.
const waryFor = time.Minute

// noteRepeat records that the upstream has repeated an answer.
func (p *Pool) noteRepeat(now time.Time) { p.repeatedAt.Store(now.UnixNano()) }

// repeatsAnswers reports whether the upstream has repeated an answer lately.
func (p *Pool) repeatsAnswers(now time.Time) bool {
	at := p.repeatedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < waryFor
}

// Dedicated returns a connection that belongs to no pool; releasing it closes it.
func Dedicated(l chervilladder.Link) *Conn { return &Conn{link: l} }

// Get returns a connection of a client account, preferably an idle one with the given
// values. If no more may be opened, it closes an idle one of another account and opens
// one in its place. Its error is ErrFull, ErrRetired, an *UpstreamLostError or a
// *LinkRefusedError; in all cases nothing but the start-up message was sent.
func (p *Pool) Get(ctx context.Context, account chervilladder.AccountID, values map[string]string) (*Conn, error) {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return nil, ErrRetired
	}
	if c := p.takeIdle(account, values); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.mayOpen(account) {
		p.count(account, 1)
		p.mu.Unlock()
		return p.dial(ctx, account)
	}
	if replaced := p.takeReplaceable(account); replaced != nil {
		p.mu.Unlock()
		replaced.link.Close()
		return p.dial(ctx, account)
	}
	w := p.enqueue(account)
	p.mu.Unlock()
	return p.await(ctx, w)
}

// mayOpen reports whether one more connection may be opened for an account. The first
// connection of client accounts is always tried, and so is the first without an account,
// which carries the status requests.
func (p *Pool) mayOpen(account chervilladder.AccountID) bool {
	if account == "" && p.unnamed == 0 || account != "" && p.unnamed == p.open {
		return true
	}
	return p.open < p.limit && !p.nearLimit && time.Now().After(p.fullUntil)
}

// count adds to the number of connections that are open for an account.
func (p *Pool) count(account chervilladder.AccountID, n int) {
	p.open += n
	if account == "" {
		p.unnamed += n
	}
}

// OpenNew opens a new connection without an account, even if others are idle or the limit
// is reached.
func (p *Pool) OpenNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return nil, ErrRetired
	}
	p.count("", 1)
	p.mu.Unlock()
	l, err := p.linker.Open(ctx, p.upstream, "")
	if err != nil {
		p.countClosed("")
		return nil, err
	}
	return &Conn{link: l, pool: p}, nil
}

// takeIdle takes the idle connection of an account that has the same values, or else the
// one of the account that was used last; nil if it has none.
func (p *Pool) takeIdle(account chervilladder.AccountID, values map[string]string) *Conn {
	at := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.account != account {
			continue
		}
		if maps.Equal(c.values, values) {
			return p.takeIdleAt(i)
		}
		if at < 0 {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	return p.takeIdleAt(at)
}

func (p *Pool) takeIdleAt(i int) *Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// takeReplaceable takes the connection of another account that was idle longest, which
// the caller must close, and counts it as one of the given account. It returns nil if
// there is none.
func (p *Pool) takeReplaceable(account chervilladder.AccountID) *Conn {
	i := p.longestIdle(0, func(c *Conn) bool { return c.account != account && !p.keeps(c) })
	if i < 0 {
		return nil
	}
	c := p.takeIdleAt(i)
	p.count(c.account, -1)
	p.count(account, 1)
	return c
}

// keeps reports whether a connection is the only one without an account beside those of
// accounts. It is kept for the status requests, each of which would open it again.
func (p *Pool) keeps(c *Conn) bool { return c.account == "" && p.unnamed == 1 && p.open > 1 }

// dial opens a connection that was counted. If the upstream accepts no more, it opens one
// in place of one that is idle for another account, or waits for one.
func (p *Pool) dial(ctx context.Context, account chervilladder.AccountID) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	c, err := p.dialOnce(ctx, account)
	if !isFull(err) {
		return c, err
	}
	p.mu.Lock()
	if replaced := p.takeReplaceable(account); replaced != nil {
		p.mu.Unlock()
		replaced.link.Close()
		if c, err = p.dialOnce(ctx, account); !isFull(err) {
			return c, err
		}
		p.mu.Lock()
	}
	if p.open == 0 {
		p.mu.Unlock()
		return nil, err
	}
	w := p.enqueue(account)
	p.mu.Unlock()
	return p.await(ctx, w)
}

// dialOnce opens a connection that was counted.
func (p *Pool) dialOnce(ctx context.Context, account chervilladder.AccountID) (*Conn, error) {
	l, err := p.linker.Open(ctx, p.upstream, account)
	if err == nil {
		return &Conn{link: l, pool: p, account: account}, nil
	}
	if isFull(err) {
		p.noteFull()
	}
	p.countClosed(account)
	return nil, err
}

// isFull reports whether an upstream refused a connection for its limit.
func isFull(err error) bool {
	var refused *chervilladder.LinkRefusedError
	return errors.As(err, &refused) && refused.Code == chervilladder.CodeConnectionLimit
}

// noteFull records that the upstream has reached its connection limit.
func (p *Pool) noteFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil = time.Now().Add(fullFor)
}

// countClosed counts a connection of an account as closed and lets a waiter open another
// one.
func (p *Pool) countClosed(account chervilladder.AccountID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(account, -1)
	p.wakeNext()
}

// put returns a connection to the pool.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	if p.retired || p.open > p.limit && !p.keeps(c) {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.returnedAt = time.Now()
	if w := p.waiterFor(c); w != nil {
		p.serve(w, grant{conn: c})
		p.mu.Unlock()
		return
	}
	p.idle = append(p.idle, c)
	var replaced *Conn
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		if replaced = p.takeReplaceable(w.account); replaced != nil {
			p.serve(w, grant{mayDial: true})
		}
	}
	p.mu.Unlock()
	if replaced != nil {
		replaced.link.Close()
	}
}

func (p *Pool) discard(c *Conn) {
	c.link.Close()
	p.countClosed(c.account)
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

// SetLimit sets the maximum number of connections, and closes an idle one if there are
// more.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.limit = n
	var c *Conn
	if p.open > n {
		if i := p.longestIdle(0, func(c *Conn) bool { return !p.keeps(c) }); i >= 0 {
			c = p.takeIdleAt(i)
		}
	}
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

// SetUsage sets the percentage of the upstream's connections that are open, and closes at
// most one idle connection. Connections of client accounts are closed near the limit only:
// the VMs' limits leave room for each other, and to open one again costs the upstream more
// than to keep it.
func (p *Pool) SetUsage(percent int) {
	p.mu.Lock()
	p.nearLimit = percent >= nearLimitPercent
	closable := func(c *Conn) bool { return !p.keeps(c) && (c.account == "" || p.nearLimit) }
	var c *Conn
	for _, level := range usageLevels {
		if percent < level.percent {
			continue
		}
		if i := p.longestIdle(level.minIdle, closable); i >= 0 && (p.nearLimit || p.open > 1) {
			c = p.takeIdleAt(i)
		}
		break
	}
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

// longestIdle returns the index of the connection that did no work for the longest
// time, of those that qualify, or -1 if that is shorter than minIdle.
func (p *Pool) longestIdle(minIdle time.Duration, qualifies func(*Conn) bool) int {
	best := -1
	for i, c := range p.idle {
		if time.Since(c.sessionUsedAt) >= minIdle && (best < 0 || c.sessionUsedAt.Before(p.idle[best].sessionUsedAt)) && qualifies(c) {
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
		w.served <- grant{}
	}
	for _, c := range idle {
		p.discard(c)
	}
}
