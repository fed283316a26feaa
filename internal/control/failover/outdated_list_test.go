package failover_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The holder of the leadership replaces a primary by a list of members that is seconds old,
// as its watch reports nothing any more. A replica that only the other VMs know isn't paused,
// and confirms the commits of the primary, which is back before its successor leads: the
// other VMs acknowledge them, and the successor lacks them (regression: review/6).
func TestHolderWithAnOutdatedListOfMembersLosesNoCommit(t *testing.T) {
	for name, leaves := range map[string]bool{"dead": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
				old, gone := clustertest.MemberID(0), clustertest.MemberID(2)
				holder, other := w.VMs[holderOf(w)], w.VMs[1-holderOf(w)]
				w.Cluster.Set(gone, func(f *cluster.Faults) { f.Down = true })
				holder.SetMembers(clustertest.Member(0), clustertest.Member(1))
				other.SetMembers(clustertest.Member(0), clustertest.Member(1))
				time.Sleep(2 * time.Second)
				w.Cluster.Add(clustertest.Member(3))
				other.SetMembers(clustertest.Member(0), clustertest.Member(1), clustertest.Member(3))
				holder.SetListed(clustertest.Member(0), clustertest.Member(1), clustertest.Member(3))
				time.Sleep(time.Second)
				stop := writeFrom(t, w, 4)
				time.Sleep(200 * time.Millisecond)
				if leaves {
					leave(w, clustertest.Member(0), clustertest.Member(1), clustertest.Member(3))
				} else {
					returnAtTheOrder(w, old)
				}
				awaitPrimary(t, w, old)
				time.Sleep(2 * time.Second)
				checkNothingLost(t, w, stop())
			})
		})
	}
}

// leave has the holder learn by its watch that the primary drains, and of nothing else. Its
// orders to step down take 30 ms on their way.
func leave(w *clustertest.World, primary, replica, joined chervilladder.Registered) {
	primary.Draining = true
	holder, other := w.VMs[holderOf(w)], w.VMs[1-holderOf(w)]
	holder.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
		if c.Kind == chervilladder.CommandStepDown {
			time.Sleep(30 * time.Millisecond)
		}
	})
	holder.SetMembers(primary, replica)
	holder.SetListed(primary, replica, joined)
	other.SetMembers(primary, replica, joined)
}

// returnAtTheOrder makes a primary silent until a promotion has been ordered.
func returnAtTheOrder(w *clustertest.World, primary chervilladder.UpstreamID) {
	var returned atomic.Bool
	for _, vm := range w.VMs {
		vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {
			if !returned.Swap(true) {
				w.Cluster.Set(primary, func(f *cluster.Faults) { f.Silent = false })
			}
		})
	}
	w.Cluster.Set(primary, func(f *cluster.Faults) { f.Silent = true })
}
