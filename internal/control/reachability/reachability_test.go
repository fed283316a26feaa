package reachability_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/control/reachability"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// unreachablePeers are peers that never respond. It counts the queries.
type unreachablePeers struct{ queries atomic.Int64 }

func (n *unreachablePeers) ReachablePrimary(ctx context.Context, _ chervilladder.Address, _ chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	n.queries.Add(1)
	<-ctx.Done()
	return chervilladder.PrimaryTerm{}, ctx.Err()
}

// newController returns an additional controller on a VM's board.
func newController(t *testing.T, vm *clustertest.VM, peers chervilladder.PeerReachability, leaving bool) *reachability.Controller {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := reachability.New(reachability.Config{
		Board: vm.Board, Peers: peers, Log: log, Clock: time.Now, Leaving: func() bool { return leaving },
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func bubble(t *testing.T, f func(t *testing.T, is *is.I, w *clustertest.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t), clustertest.New(t, clustertest.Config{VMs: 2})) })
}

func TestReachablePrimary(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *clustertest.World) {
		k := newController(t, w.VMs[1], &unreachablePeers{}, false)
		calledAt := time.Now()
		primary, err := k.ReachablePrimary(t.Context(), clustertest.Service)
		is.NoErr(err)
		is.Equal(primary, chervilladder.PrimaryTerm{Primary: clustertest.MemberID(0), Term: 1})
		v := w.VMs[1].Board.Clusters.Get(clustertest.Service).View.Load()
		is.True(!v.Members[primary.Primary].RequestedAt.Before(calledAt)) // it was polled again

		_, err = k.ReachablePrimary(t.Context(), "registry")
		is.True(err != nil) // an unknown service
		_, err = newController(t, w.VMs[1], &unreachablePeers{}, true).ReachablePrimary(t.Context(), clustertest.Service)
		is.True(err != nil) // the VM leaves
		w.Forward(1, 0)
		_, err = k.ReachablePrimary(t.Context(), clustertest.Service)
		is.True(err != nil) // another VM hosts the service
	})
}

// A VM that can't reach the primary itself returns an error, and does so at once when the
// primary has been unreachable for long.
func TestReachablePrimaryFailsWithoutThePrimary(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *clustertest.World) {
		for _, vm := range w.VMs {
			vm.Record.Unreachable.Store(true) // no failover
		}
		k := newController(t, w.VMs[1], &unreachablePeers{}, false)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent = true })
		_, err := k.ReachablePrimary(t.Context(), clustertest.Service)
		is.True(err != nil)
		time.Sleep(5 * time.Second)
		began := time.Now()
		_, err = k.ReachablePrimary(t.Context(), clustertest.Service)
		is.True(err != nil)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Peers are queried only while a primary is unreachable, at most every 250 ms.
func TestPeersAreQueriedWhileAPrimaryIsUnreachable(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *clustertest.World) {
		peers := &unreachablePeers{}
		k := newController(t, w.VMs[0], peers, false)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(3 * time.Second)
		is.Equal(peers.queries.Load(), int64(0))
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(0))
		time.Sleep(3 * time.Second)
		queries := peers.queries.Load()
		is.True(queries >= 4 && queries <= 12)
		w.VMs[0].Linker.SetUnreachable(false, clustertest.MemberID(0))
		time.Sleep(time.Second)
		queries = peers.queries.Load()
		time.Sleep(3 * time.Second)
		is.Equal(peers.queries.Load(), queries)
		stop()
		is.NoErr(<-ended)
		is.True(w.VMs[0].Board.Clusters.Get(clustertest.Service).PeerReport.Load().By != "") // the VM's own controller has received its peer's report
	})
}
