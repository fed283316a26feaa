package schedule

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// observed returns a queue of one primary with two slots at which a class of
// writes has lately taken as long as given.
func observed(t *testing.T, service time.Duration) *Queue {
	t.Helper()
	q := &Queue{}
	q.Configure([]Capacity{{Upstream: "a", Slots: 2, Primary: true}})
	for range minSamples {
		w := adjustment("before", time.Minute, 0)
		if err := q.Submit(w); err != nil {
			t.Fatal(err)
		}
		<-w.Granted()
		time.Sleep(service)
		q.Release(w)
	}
	return q
}

// adjustment is a write of a caller with a deadline from now on.
func adjustment(caller string, deadline, target time.Duration) *Ticket {
	return &Ticket{
		Priority: chervilladder.PriorityNormal, Class: "adjust", Caller: caller, Access: chervilladder.AccessWrite,
		Deadline: time.Now().Add(deadline), Target: target,
	}
}

// TestWaitBehindManyCallers lets 40 callers wait with one piece of work each. One
// more caller has to wait for all of them: each has its turn before, however
// little it asks for. Work that can't make its deadline then is refused at once,
// not when its deadline has passed.
func TestWaitBehindManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := observed(t, 50*time.Millisecond)
		for i := range 42 { // two of them run
			is.NoErr(q.Submit(adjustment(fmt.Sprint("caller-", i), time.Minute, 0)))
		}
		err := q.Submit(adjustment("late", 500*time.Millisecond, 0))
		var notRun *chervilladder.NotRunError
		is.True(errors.As(err, &notRun)) // 40 pieces of 50 ms on two slots take a second
		is.Equal(notRun.Reason, chervilladder.ReasonDeadline)
		is.True(notRun.RetryAfter >= time.Second)
		is.NoErr(q.Submit(adjustment("patient", 1200*time.Millisecond, 0)))
	})
}

// TestFewWaitBehindACallerThatFloods lets one caller wait with 40 pieces of work.
// Another one takes turns with it and waits for one piece only.
func TestFewWaitBehindACallerThatFloods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := observed(t, 50*time.Millisecond)
		for range 42 {
			is.NoErr(q.Submit(adjustment("flood", time.Minute, 0)))
		}
		is.NoErr(q.Submit(adjustment("other", 150*time.Millisecond, 0)))
	})
}
