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

// The holder ends while its order is held up on the way, another VM promotes another
// replica, and a VM starts anew in between: it was not told of the first order's candidate,
// which receives nothing of the new term. The order takes effect seven seconds later.
func TestOrderThatTakesEffectAfterALaterPromotionLosesNothingOfAVMThatStartedAnew(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3, Members: 4}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old, late := clustertest.MemberID(0), clustertest.Member(1)
		late.Draining = true
		members := []chervilladder.Registered{clustertest.Member(0), late, clustertest.Member(2), clustertest.Member(3)}
		var ended atomic.Pointer[clustertest.VM]
		for _, vm := range w.VMs {
			vm.Promoter.Delay.Store(int64(time.Hour)) // held up on the way
			vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {
				if !ended.CompareAndSwap(nil, vm) {
					return
				}
				w.Cluster.Set(late.ID, func(f *cluster.Faults) { f.NoReplication = true })
				for _, next := range w.VMs {
					next.Promoter.Delay.Store(0)
					next.SetMembers(members...) // the others are preferred now
				}
				time.AfterFunc(10*time.Millisecond, vm.Kill)
				time.AfterFunc(7*time.Second, func() {
					if err := w.Cluster.Promote(vm.Board.Self.ID, 1, late.ID); err != nil {
						t.Error(err)
					}
				})
			})
		}
		time.Sleep(4 * time.Second)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		for began := time.Now(); ended.Load() == nil && time.Since(began) < replacedWithin; {
			time.Sleep(100 * time.Millisecond)
		}
		is.True(ended.Load() != nil)
		w.StartAnew(t, otherThan(w, ended.Load()), members...)
		stop := writeFrom(t, w, 6)
		time.Sleep(9 * time.Second)
		w.Cluster.Set(late.ID, func(f *cluster.Faults) { f.NoReplication = false })
		time.Sleep(2 * time.Second)
		acked := stop()
		is.Equal(len(w.Cluster.Effects()), 2)
		checkNothingLost(t, w, acked)
	})
}

// otherThan returns the index of another VM.
func otherThan(w *clustertest.World, vm *clustertest.VM) int {
	if w.VM(0) == vm {
		return 1
	}
	return 0
}
