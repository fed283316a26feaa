package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// A panic under the queue's lock must leave the lock free; once its ticket is withdrawn,
// other tickets get the slots.
func TestPanicUnderTheLock(t *testing.T) {
	is := is.New(t)
	var q schedule.Queue
	q.Configure([]schedule.Capacity{{Upstream: "replica", Slots: 1}})
	ticket := func(readable func(chervilladder.UpstreamID) bool) *schedule.Ticket {
		return &schedule.Ticket{
			Database: "db", Service: "s", Caller: "c", Access: chervilladder.AccessRead,
			Deadline: time.Now().Add(time.Minute), Readable: readable,
		}
	}
	for range 3 {
		broken := ticket(func(chervilladder.UpstreamID) bool { panic("injected") })
		func() {
			defer func() { is.True(recover() != nil) }()
			_ = q.Submit(broken) // it panics
		}()
		q.Withdraw(broken)
	}
	is.Equal(q.Waiting(), 0)
	good := ticket(func(chervilladder.UpstreamID) bool { return true })
	is.NoErr(q.Submit(good))
	select {
	case id := <-good.Granted():
		is.Equal(id, chervilladder.UpstreamID("replica"))
	case <-time.After(time.Second):
		t.Fatal("no slot was granted")
	}
	q.Release(good)
}
