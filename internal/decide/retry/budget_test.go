package retry_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// outage is a run of six seconds in which all work of the third second fails.
type outage struct {
	queue    schedule.Queue
	budget   *retry.Budget
	mu       sync.Mutex
	began    time.Time
	attempts [8]int
	offered  [8]int
}

func (o *outage) second() int { return min(7, int(time.Since(o.began)/time.Second)) }

// attempt runs work in a slot and reports false if it failed and is to be retried.
// Work that the queue refuses isn't retried, so it reports true for that too.
func (o *outage) attempt() bool {
	t := &schedule.Ticket{Class: "normal", Deadline: time.Now().Add(10 * time.Second)}
	if o.queue.Submit(t) != nil {
		return true
	}
	<-t.Granted()
	defer o.queue.Release(t)
	o.mu.Lock()
	o.attempts[o.second()]++
	o.mu.Unlock()
	failing := o.second() == 2
	time.Sleep(4 * time.Millisecond)
	return !failing
}

func (o *outage) job() {
	for i := 1; !o.attempt(); i++ {
		if i == 3 || o.budget != nil && !o.budget.Spend() {
			return
		}
		if o.budget != nil {
			time.Sleep(retry.Delay(i))
		}
	}
	if o.budget != nil {
		o.budget.Succeeded()
	}
}

func (o *outage) run(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		o.began = time.Now()
		o.queue.Configure([]schedule.Capacity{{Upstream: "a", Slots: 3, Primary: true}})
		r := rand.New(rand.NewPCG(18, 0))
		var jobs sync.WaitGroup
		for o.second() < 6 {
			o.mu.Lock()
			o.offered[o.second()]++
			o.mu.Unlock()
			jobs.Go(o.job)
			time.Sleep(time.Duration(r.ExpFloat64() * float64(2*time.Millisecond)))
		}
		jobs.Wait()
	})
}

// TestRetriesStayWithinBudget guards against retries that multiply the load
// during an outage and after it. It logs the load without a budget, for
// comparison, and with one.
func TestRetriesStayWithinBudget(t *testing.T) {
	unlimited, limited := &outage{}, &outage{budget: &retry.Budget{}}
	t.Run("without budget", unlimited.run)
	t.Run("with budget", limited.run)
	t.Log("offered per second:    ", unlimited.offered)
	t.Log("attempts, no budget:   ", unlimited.attempts)
	t.Log("attempts, with budget: ", limited.attempts)
	extra := 0
	for i := range limited.attempts {
		extra += limited.attempts[i] - limited.offered[i]
	}
	is.New(t).True(extra <= 10+limited.offered[1]/10) // a full budget and a share of successes
}

// TestBudgetEarnsFromSuccess checks that a budget starts with ten retries, that ten
// successes earn one more, and that the delay before a late retry is bounded.
func TestBudgetEarnsFromSuccess(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	for range 10 {
		is.True(b.Spend())
	}
	is.True(!b.Spend()) // empty
	for range 10 {
		b.Succeeded()
	}
	is.True(b.Spend())
	is.True(!b.Spend())
	is.True(retry.Delay(50) < 320*time.Millisecond+1)
}
