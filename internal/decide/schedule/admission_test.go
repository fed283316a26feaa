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

// queueWithServiceTime returns a queue of one primary with two slots, in which the
// class "normal" has recent samples of a service time.
func queueWithServiceTime(t *testing.T, service time.Duration) *Queue {
	t.Helper()
	q := &Queue{}
	q.Configure([]Capacity{{Upstream: "a", Slots: 2, Primary: true}})
	for range minSamples {
		w := normalWrite("before", time.Minute, 0)
		if err := q.Submit(w); err != nil {
			t.Fatal(err)
		}
		<-w.Granted()
		time.Sleep(service)
		q.Release(w)
	}
	return q
}

// normalWrite returns a write of a caller in class "normal", whose deadline is given
// relative to now.
func normalWrite(caller string, deadline, target time.Duration) *Ticket {
	return &Ticket{
		Priority: chervilladder.PriorityNormal, Class: "normal", Caller: caller, Access: chervilladder.AccessWrite,
		Deadline: time.Now().Add(deadline), Target: target,
	}
}

// TestWaitBehindManyCallers checks the expected wait behind 40 callers with one
// ticket each: a further caller waits for all of them, as each has its turn first. A
// ticket that would miss its deadline is refused at once, not when the deadline has
// passed.
func TestWaitBehindManyCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queueWithServiceTime(t, 50*time.Millisecond)
		for i := range 42 { // two of them run at once
			is.NoErr(q.Submit(normalWrite(fmt.Sprint("caller-", i), time.Minute, 0)))
		}
		err := q.Submit(normalWrite("late", 500*time.Millisecond, 0))
		var notRun *chervilladder.NotRunError
		is.True(errors.As(err, &notRun)) // 40 tickets of 50 ms on two slots take a second
		is.Equal(notRun.Reason, chervilladder.ReasonDeadline)
		is.True(notRun.RetryAfter >= time.Second)
		is.NoErr(q.Submit(normalWrite("patient", 1200*time.Millisecond, 0)))
	})
}

// TestWaitBehindAFloodingCaller checks the expected wait behind one caller with 40
// waiting tickets: another caller takes turns with it and waits for one ticket only.
func TestWaitBehindAFloodingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := queueWithServiceTime(t, 50*time.Millisecond)
		for range 42 {
			is.NoErr(q.Submit(normalWrite("flood", time.Minute, 0)))
		}
		is.NoErr(q.Submit(normalWrite("other", 150*time.Millisecond, 0)))
	})
}
