package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// Commits of a service without confirmations reach the replicas after they were reported,
// and the primary goes down for good in between: the service accepts their loss.
func TestPrimaryWithoutConfirmationsIsReplacedThoughReplicasAreBehind(t *testing.T) {
	c := clustertest.Config{VMs: 2, Adjust: func(c *cluster.Config) { c.Confirmations = 0 }}
	bubble(t, c, func(t *testing.T, is *is.I, w *clustertest.World) {
		acceptLoss(w)
		old := clustertest.MemberID(0)
		stop := writeFrom(t, w, 4)
		time.Sleep(4 * time.Second)
		for i := 1; i < 3; i++ {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.NoReplication = true })
		}
		time.Sleep(100 * time.Millisecond)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		for i := 1; i < 3; i++ {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.NoReplication = false })
		}
		time.Sleep(8 * time.Second)
		stop()
		primary, _ := w.Cluster.Primary()
		is.True(primary != "" && primary != old)
	})
}

// acceptLoss gives all VMs a configuration in which the service has no confirmations.
func acceptLoss(w *clustertest.World) {
	for _, vm := range w.VMs {
		r := *vm.Board.Routing.Load()
		r.Revision.Revision++
		limits := r.Services[clustertest.Service]
		limits.SyncReplicas = 0
		r.Services = map[chervilladder.ServiceID]chervilladder.ServiceLimits{clustertest.Service: limits}
		vm.Board.Routing.Store(&r)
	}
	time.Sleep(time.Second)
}
