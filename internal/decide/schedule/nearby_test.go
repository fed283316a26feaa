package schedule

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// place submits a read that any replica may run, and returns where it got a slot.
func place(t *testing.T, q *Queue) (*Ticket, chervilladder.UpstreamID) {
	t.Helper()
	r := &Ticket{
		Class: "c", Caller: "caller", Access: chervilladder.AccessRead, Deadline: time.Now().Add(time.Minute),
		Readable: func(chervilladder.UpstreamID) bool { return true },
	}
	if err := q.Submit(r); err != nil {
		t.Fatal(err)
	}
	return r, <-r.Granted()
}

// Reads must use the replica of the own data centre while half of its slots are free, and
// then the one with the most free slots, wherever it is: they cost the way then, and no
// wait. The replica of another data centre was used for every other read.
func TestReadsUseTheReplicaNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &Queue{}
		q.Configure([]Capacity{{Upstream: "p", Slots: 4, Primary: true}, {Upstream: "near", Slots: 4}, {Upstream: "far", Slots: 4, Distant: true}})
		var placed []chervilladder.UpstreamID
		var first *Ticket
		for range 8 {
			r, id := place(t, q)
			placed = append(placed, id)
			if first == nil {
				first = r
			}
		}
		is.Equal(placed[:4], []chervilladder.UpstreamID{"near", "near", "near", "far"})
		near := 0
		for _, id := range placed {
			if id == "near" {
				near++
			}
		}
		is.Equal(near, 4) // both are full in the end
		q.Release(first)
		_, id := place(t, q)
		is.Equal(id, chervilladder.UpstreamID("near"))
	})
}
