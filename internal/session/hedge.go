package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// tried is how one of the attempts of a read ended.
type tried struct {
	work   *work
	result chervilladder.Result
}

// hedged runs a read, and runs it once more if its answer is late: the answer
// may be lost. The first good answer counts; the other attempt goes on to its
// end without anybody waiting for it, so that no upstream is broken off.
func (w *work) hedged(ctx context.Context) chervilladder.Result {
	ended := make(chan tried, 2)
	first := w.attemptOf(ctx, running{}, ended)
	outstanding := 1
	timer := time.NewTimer(w.patience())
	defer timer.Stop()
	for {
		select {
		case e := <-ended:
			outstanding--
			if e.result.Code == chervilladder.CodeNone || outstanding == 0 {
				w.adopt(e.work)
				return e.result
			}
		case <-timer.C:
			r := first.running.Load()
			if r == nil {
				timer.Reset(w.patience()) // it waits for its turn
				continue
			}
			if left := w.patience() - time.Since(r.sent); left > 0 {
				timer.Reset(left)
				continue
			}
			if outstanding == 1 && w.cluster.Retries.Spend() {
				w.attemptOf(ctx, *r, ended)
				outstanding++
			}
		}
	}
}

// attemptOf starts a copy of the work that keeps off where another one runs.
func (w *work) attemptOf(ctx context.Context, other running, ended chan<- tried) *work {
	c := *w
	c.running = new(atomic.Pointer[running])
	c.excluded = nil
	c.avoid = other.host
	if other.upstream != "" {
		c.exclude(other.upstream)
	}
	go func() {
		r := c.try(ctx)
		ended <- tried{work: &c, result: r}
	}()
	return &c
}

// adopt takes over what is told of the attempt that counts.
func (w *work) adopt(c *work) {
	w.upstream, w.since, w.granted, w.passedTo = c.upstream, c.since, c.granted, c.passedTo
	w.tries += c.tries
}
