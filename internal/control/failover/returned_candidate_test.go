package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The candidate is out of sight from its order on, and its entry expires meanwhile. It is
// back, with its log, when the order takes effect. All VMs were told of it.
func TestLateOrderForACandidateWhoseEntryHasExpiredLosesNothing(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		setMembers := func(list ...chervilladder.Registered) {
			for _, vm := range w.VMs {
				vm.SetMembers(list...)
			}
		}
		ordering := loseOrderedCandidate(w)
		time.Sleep(4 * time.Second)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
		time.Sleep(5 * time.Second)
		is.True(ordering.Load() != nil)
		for _, vm := range w.VMs {
			vm.Promoter.Delay.Store(0) // only the first order is late
		}
		setMembers(clustertest.Member(0), clustertest.Member(2)) // m1 is the candidate
		stop := writeFrom(t, w, 4)
		time.Sleep(6 * time.Second)
		setMembers(clustertest.Member(0), clustertest.Member(1), clustertest.Member(2))
		time.Sleep(6 * time.Second)
		is.True(len(w.Cluster.Effects()) > 0)
		checkServedAndKept(t, w, stop)
	})
}
