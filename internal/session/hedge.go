package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// attemptResult is the outcome of one attempt of a hedged read.
type attemptResult struct {
	work   *work
	result chervilladder.Result
}

// runHedged runs a read as a hedged request: if the answer is late, it may be
// lost, and a second attempt starts. The first successful answer is returned. The
// other attempt ends if it still waits for a slot or a connection. Once sent, it runs
// to its end in the background, so that no upstream's connection has to be closed.
func (w *work) runHedged(ctx context.Context) chervilladder.Result {
	results := make(chan attemptResult, 2)
	first := w.startAttempt(ctx, running{}, results)
	outstanding := 1
	timer := time.NewTimer(w.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case a := <-results:
			outstanding--
			if a.result.Code == chervilladder.CodeNone || outstanding == 0 {
				w.adopt(a.work)
				return a.result
			}
		case <-timer.C:
			r := first.running.Load()
			if r == nil {
				timer.Reset(w.hedgeDelay()) // still waits for a slot
				continue
			}
			if left := w.hedgeDelay() - time.Since(r.sentAt); left > 0 {
				timer.Reset(left)
				continue
			}
			if outstanding == 1 && w.cluster.Retries.Spend() {
				w.startAttempt(ctx, *r, results)
				outstanding++
			}
		}
	}
}

// startAttempt starts a copy of the work that avoids the upstream and the VM that
// the other attempt was sent to.
func (w *work) startAttempt(ctx context.Context, other running, results chan<- attemptResult) *work {
	c := *w
	c.running = new(atomic.Pointer[running])
	c.excluded = nil
	c.targets = nil
	if other.forwardedTo != "" {
		c.targets = &targets{avoid: other.forwardedTo}
	}
	if other.upstream != "" {
		c.exclude(other.upstream)
	}
	go func() {
		_, code := answer.AutocommitLost(w.access)
		r := failure(code, "internal error")
		_ = recovery.Call(w.session.m.c.Log, part, func() { r = c.try(ctx) }) // then r is that the answer was lost
		results <- attemptResult{work: &c, result: r}
	}()
	return &c
}

// adopt copies from the attempt whose result is returned what is reported to the
// observer.
func (w *work) adopt(c *work) {
	w.upstream, w.minMark, w.grantedAt, w.forwardedTo = c.upstream, c.minMark, c.grantedAt, c.forwardedTo
	w.targets, w.refused = c.targets, c.refused
	w.attempts += c.attempts
}
