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

// The candidate is out of sight from its order on, so the other replica is resumed; the order
// takes effect seconds later. A VM that was not told of the candidate must report nothing
// that the candidate lacks.
func TestLateOrderForALostCandidateLosesNothingThatAnUntoldVMReports(t *testing.T) {
	for name, startsAnew := range map[string]bool{"its peers don't reach it": false, "it starts after the announcement": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
				ordering := loseOrderedCandidate(w)
				for _, vm := range w.VMs {
					vm.Unreachable.Store(!startsAnew)
				}
				time.Sleep(4 * time.Second)
				w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
				time.Sleep(5 * time.Second)
				is.True(ordering.Load() != nil)
				if startsAnew {
					untold := 0
					if w.VM(0) == ordering.Load() {
						untold = 1
					}
					w.StartAnew(t, untold, clustertest.Member(0), clustertest.Member(1), clustertest.Member(2))
				}
				stop := writeFrom(t, w, 4)
				time.Sleep(14 * time.Second)
				is.True(len(w.Cluster.Effects()) > 0)
				checkServedAndKept(t, w, stop)
			})
		})
	}
}

// loseOrderedCandidate has the first order take effect after eight seconds and its candidate
// fall silent until then; the primary is back after four. It returns the VM that ordered.
func loseOrderedCandidate(w *clustertest.World) *atomic.Pointer[clustertest.VM] {
	var ordering atomic.Pointer[clustertest.VM]
	for _, vm := range w.VMs {
		vm.Promoter.Delay.Store(int64(8 * time.Second))
		vm.Promoter.OnOrder(func(candidate chervilladder.UpstreamID) {
			if !ordering.CompareAndSwap(nil, vm) {
				return
			}
			w.Cluster.Set(candidate, func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
			time.AfterFunc(4*time.Second, func() { w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { *f = cluster.Faults{} }) })
			time.AfterFunc(8*time.Second, func() { w.Cluster.Set(candidate, func(f *cluster.Faults) { *f = cluster.Faults{} }) })
		})
	}
	return &ordering
}
