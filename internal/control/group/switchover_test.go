package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// leave applies a configuration in which some members are leaving.
func (f *fleet) leave(vm int, leaving ...chervilladder.UpstreamID) {
	db := &chervilladder.Database{ID: ledger}
	for _, id := range f.ids() {
		u := chervilladder.Upstream{ID: id, Address: chervilladder.Address(id), Slots: 1}
		for _, l := range leaving {
			u.Leaving = u.Leaving || l == id
		}
		db.Upstreams = append(db.Upstreams, u)
	}
	f.publish(f.boards[vm], db)
}

// TestLeavingPrimary checks that a primary that is leaving is replaced while
// all members respond.
func TestLeavingPrimary(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.leave(0, "a")
		id, gap := f.awaitOpen(board, "a")
		t.Logf("%s is open after %v", id, gap)
		is.New(t).True(gap < switchoverLimit)
		time.Sleep(settled)
		is.New(t).Equal(f.terms(), 2)
	})
}

// TestLeavingPrimaryAndReplica checks that a replica that is leaving too isn't
// promoted.
func TestLeavingPrimaryAndReplica(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.leave(0, "a", "b")
		id, _ := f.awaitOpen(board, "a", "b")
		is.New(t).Equal(id, chervilladder.UpstreamID("c"))
	})
}

// TestRemovedPrimary checks that a primary that was removed from the
// configuration is replaced.
func TestRemovedPrimary(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.configure(board, "b", "c")
		_, gap := f.awaitOpen(board, "a")
		is.New(t).True(gap < switchoverLimit)
		time.Sleep(settled)
		is.New(t).Equal(board.Databases.Get(ledger).Group.Load().Size, 2)
	})
}

// TestLeavingPrimaryKeepsWrites checks that the leaving primary stays primary
// while no replica has received all writes.
func TestLeavingPrimaryKeepsWrites(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.group.change("b", func(s *fakeState) { s.lags = true })
		f.group.change("c", func(s *fakeState) { s.lags = true })
		f.leave(0, "a")
		time.Sleep(longRun)
		is.New(t).Equal(f.terms(), 1)
		f.group.change("c", func(s *fakeState) { s.lags = false })
		id, _ := f.awaitOpen(board, "a")
		is.New(t).Equal(id, chervilladder.UpstreamID("c"))
	})
}

// TestLeavingPrimaryFails checks the failover from a primary that fails during
// the switchover, while writes wait.
func TestLeavingPrimaryFails(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.leave(0, "a")
		time.Sleep(100 * time.Millisecond)
		f.group.change("a", func(s *fakeState) { s.down = true })
		_, gap := f.awaitOpen(board, "a")
		is.New(t).True(gap < failoverLimit)
	})
}

// TestLeavingPrimaryAnswerLost checks that the switchover succeeds although
// responses to each of its calls are lost.
func TestLeavingPrimaryAnswerLost(t *testing.T) {
	for _, call := range []string{"accept", "promote", "claim", "follow"} {
		t.Run(call, func(t *testing.T) {
			testFleet(t, three, func(f *fleet) {
				board := f.add("vm", f.group.dial())
				f.awaitOpen(board)
				time.Sleep(settled)
				f.group.lose(call, 2)
				f.leave(0, "a")
				f.awaitOpen(board, "a")
			})
		})
	}
}
