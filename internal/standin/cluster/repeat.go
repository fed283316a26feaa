package cluster

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Repeat decides whether a member sends an answer a second time, and how long after the
// first. It gets the command and the code that answers it, and may be called from several
// goroutines.
type Repeat func(chervilladder.Command, chervilladder.Code) (delay time.Duration, repeated bool)

// Refuse decides whether a member refuses a command without running it: with the code that
// it returns, unless that is CodeNone.
type Refuse func(chervilladder.Command) chervilladder.Code

// RandomRepeatsConfig configures RandomRepeats.
type RandomRepeatsConfig struct {
	Seed uint64
	// Share is the share of the answers that are repeated.
	Share float64
	// MaxDelay is the longest time from an answer to its repetition.
	MaxDelay time.Duration
}

// RandomRepeats returns a Repeat that chooses answers of all kinds at random.
func RandomRepeats(c RandomRepeatsConfig) Repeat {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	return func(chervilladder.Command, chervilladder.Code) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() >= c.Share {
			return 0, false
		}
		return time.Duration(rng.Float64() * float64(c.MaxDelay)), true
	}
}

// RepeatLater sends the answer to a command a second time, if the fault Repeat applies and
// the connection is open by then. It returns at once; send must send the whole answer.
func (c *Conn) RepeatLater(cmd chervilladder.Command, code chervilladder.Code, send func()) {
	c.cluster.mu.Lock()
	repeat := c.m.faults.Repeat
	c.cluster.mu.Unlock()
	if repeat == nil {
		return
	}
	delay, repeated := repeat(cmd, code)
	if !repeated {
		return
	}
	time.AfterFunc(delay, func() {
		if !c.isBroken() {
			send()
		}
	})
}

// refuse returns the answer to a command that the fault Refuse applies to.
func (c *Conn) refuse(cmd chervilladder.Command) (chervilladder.Result, bool) {
	if c.m.faults.Refuse == nil {
		return chervilladder.Result{}, false
	}
	code := c.m.faults.Refuse(cmd)
	if code == chervilladder.CodeNone {
		return chervilladder.Result{}, false
	}
	return c.fail(code, string(c.m.ID)), true
}

// answer passes an answer to the reader of the link, and again later if it is repeated.
func (l *link) answer(c chervilladder.Command, a answer) {
	l.pass(a)
	if a.err == nil {
		l.conn.RepeatLater(c, a.result.Code, func() { l.pass(a) })
	}
}

// pass passes an answer to the reader of the link. While too many are unread it waits, until
// the connection is closed.
func (l *link) pass(a answer) {
	select {
	case l.answers <- a:
		return
	default:
	}
	select {
	case l.answers <- a:
	case <-l.conn.Broken():
	}
}
