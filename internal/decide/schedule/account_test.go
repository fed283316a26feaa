package schedule

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// serve keeps work of callers waiting, as many tickets of each as given, and runs it for a
// time on two slots. It returns how many tickets of each caller ran.
func serve(t *testing.T, waiting map[string]int, ticket func(caller string) *Ticket, length time.Duration) map[string]int {
	t.Helper()
	q := queueWithServiceTime(t, 10*time.Millisecond)
	ran := make(map[string]int)
	end := time.Now().Add(length)
	done := make(chan string)
	submit := func(caller string) {
		w := ticket(caller)
		if err := q.Submit(w); err != nil {
			t.Fatal(err)
		}
		go func() {
			<-w.Granted()
			time.Sleep(10 * time.Millisecond)
			q.Release(w)
			done <- caller
		}()
	}
	open := 0
	for caller, n := range waiting {
		for range n {
			submit(caller)
			open++
		}
	}
	for ; open > 0; open-- {
		caller := <-done
		if time.Now().Before(end) {
			ran[caller]++
			submit(caller)
			open++
		}
	}
	return ran
}

// Two client accounts, one with ten times the other's demand, get the same at one priority.
func TestHotAccountGetsNoMoreThanAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ran := serve(t, map[string]int{"hot": 100, "usual": 10}, func(caller string) *Ticket { return normalWrite(caller, time.Hour, 0) }, 5*time.Second)
		is.True(ran["usual"]+ran["hot"] >= 990) // two slots for 5 s
		is.True(ran["usual"] >= 490)
		is.True(ran["hot"] >= 490)
	})
}

// Urgent work of every account runs before patient work of any.
func TestUrgentWorkOfAllAccountsGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &Queue{}
		q.Configure([]Capacity{{Upstream: "a", Slots: 1, Primary: true}})
		submit := func(p chervilladder.Priority, caller string) *Ticket {
			w := &Ticket{
				Priority: p, Class: chervilladder.ClassID(caller + "-" + string(rune('a'+p))), Caller: caller,
				Access: chervilladder.AccessWrite, Deadline: time.Now().Add(time.Hour),
			}
			is.NoErr(q.Submit(w))
			return w
		}
		runs := submit(chervilladder.PriorityNormal, "first")
		patient := submit(chervilladder.PriorityBackground, "one")
		var urgent []*Ticket
		for _, caller := range []string{"one", "two", "three"} {
			urgent = append(urgent, submit(chervilladder.PriorityUrgent, caller), submit(chervilladder.PriorityUrgent, caller))
		}
		<-runs.Granted()
		q.Release(runs)
		for range urgent {
			granted := false
			for _, w := range urgent {
				select {
				case <-w.Granted():
					granted = true
					q.Release(w)
				default:
				}
				if granted {
					break
				}
			}
			is.True(granted)
		}
		<-patient.Granted()
		q.Release(patient)
	})
}
