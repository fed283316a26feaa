package failover_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// replacePrimary makes the primary silent, waits for its successor, and has it follow that
// one.
func replacePrimary(t *testing.T, w *clustertest.World) {
	t.Helper()
	old, _ := w.Cluster.Primary()
	w.Cluster.Set(old, func(f *cluster.Faults) { f.Silent = true })
	awaitPrimary(t, w, old)
	w.Cluster.Set(old, func(f *cluster.Faults) { f.Silent = false })
	time.Sleep(4 * time.Second)
}

// The store comes back from a copy with the record of the holder before the last. That VM
// must not order a promotion with the epoch of before (regression: review/7).
func TestEpochsRiseAfterTheStoreHasComeBackFromACopy(t *testing.T) {
	for _, drills := range []int{1, 2} {
		t.Run(fmt.Sprint(drills), func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 3, Era: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
				time.Sleep(4 * time.Second)
				replacePrimary(t, w)
				first := w.VMs[holderOf(w)]
				for range drills {
					before := w.Record.Copy()
					first.Record.Unreachable.Store(true) // another VM takes over
					replacePrimary(t, w)
					first.Record.Unreachable.Store(false)
					w.Record.Restore(before)
					time.Sleep(3 * time.Second)
				}
				replacePrimary(t, w)
				is.Equal(len(w.Cluster.Promotions()), drills+2)
				checkOrders(t, w)
			})
		})
	}
}

// The copy has no record, or one without a holder, and all VMs have started anew.
func TestEpochsRiseThoughAllVMsStartAnewWhileTheStoreComesBack(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3, Era: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		replacePrimary(t, w)
		members := []chervilladder.Registered{clustertest.Member(0), clustertest.Member(1), clustertest.Member(2)}
		for range 2 {
			w.Record.Restore(chervilladder.Leadership{})
			w.Restart(t, members...)
			time.Sleep(4 * time.Second)
			replacePrimary(t, w)
		}
		is.Equal(len(w.Cluster.Promotions()), 3)
		checkOrders(t, w)
	})
}

// The store comes back from a copy while a primary is replaced: before and after each order,
// and at each write of the record. Epochs must rise, the primary must be replaced, and no
// acknowledged commit may be lost.
func TestStoreComesBackFromACopyDuringAReplacement(t *testing.T) {
	for _, at := range []string{"write", "pause", "step-down", "order", "resume"} {
		for _, recorded := range []bool{true, false} {
			for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%t/%s", at, recorded, delay), func(t *testing.T) {
					bubble(t, clustertest.Config{VMs: 3, Era: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
						drillDuringAReplacement(t, w, at, recorded, delay)
					})
				})
			}
		}
	}
}

func drillDuringAReplacement(t *testing.T, w *clustertest.World, at string, recorded bool, delay time.Duration) {
	t.Helper()
	time.Sleep(4 * time.Second)
	replacePrimary(t, w)
	var before chervilladder.Leadership
	if recorded {
		before = w.Record.Copy()
	}
	var drilled atomic.Bool
	reached := func(step string) {
		if step == at && !drilled.Swap(true) {
			time.AfterFunc(delay, func() { w.Record.Restore(before) })
		}
	}
	steps := map[chervilladder.CommandKind]string{chervilladder.CommandPause: "pause", chervilladder.CommandStepDown: "step-down", chervilladder.CommandResume: "resume"}
	for _, vm := range w.VMs {
		vm.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) { reached(steps[c.Kind]) })
		vm.Promoter.OnOrder(func(chervilladder.UpstreamID) { reached("order") })
		vm.Record.OnWrite(func(chervilladder.Leadership) { reached("write") })
	}
	stop := writeFrom(t, w, 4)
	time.Sleep(200 * time.Millisecond)
	replacePrimary(t, w)
	replacePrimary(t, w)
	if !drilled.Load() {
		t.Error("the step was not reached")
	}
	checkOrders(t, w)
	checkNothingLost(t, w, stop())
}
