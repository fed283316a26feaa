package session_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// atOnce bounds the time in which work that this VM can neither run nor forward is
// rejected.
const atOnce = 50 * time.Millisecond

// A VM that reaches the primary and none of its replicas can neither prove that a read
// is current nor that a write is confirmed. It must reject work at once, while there
// is time left to try another VM.
func TestVMThatReachesNoReplicaRejectsAtOnce(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		replicas := []chervilladder.UpstreamID{clustertest.MemberID(1), clustertest.MemberID(2)}
		w.VMs[0].Linker.SetUnreachable(true, replicas...)
		w.VMs[1].Unreachable.Store(true) // its peer is unreachable too
		time.Sleep(2 * time.Second)
		for db, command := range map[chervilladder.DatabaseID]chervilladder.Command{
			clustertest.PrimaryDB: read("r"), clustertest.OwnWritesDB: write("w"), clustertest.BoundedDB: read("b"),
		} {
			s := w.Open(t, 0, db)
			began := time.Now()
			r := s.Do(context.Background(), command)
			is.Equal(r.Code, chervilladder.CodeBusy)
			is.True(time.Since(began) < atOnce)
		}
		s := w.Open(t, 0, clustertest.PrimaryDB)
		do(t, s, begin())
		began := time.Now()
		is.Equal(s.Do(context.Background(), write("t")).Code, chervilladder.CodeBusy)
		is.True(time.Since(began) < atOnce)
		do(t, s, rollback())
		other := w.Open(t, 1, clustertest.PrimaryDB)
		do(t, other, write("o")) // the other VM serves
		is.Equal(logged(w.Cluster, clustertest.MemberID(0), "w")+logged(w.Cluster, clustertest.MemberID(0), "t"), 0)

		w.VMs[0].Linker.SetUnreachable(false, replicas...)
		time.Sleep(time.Second)
		do(t, s, write("again"))
	})
}

// A VM that hasn't reached the primary for longer than a failover takes must reject work
// at once too; until then it waits for the new primary.
func TestVMThatReachesNoPrimaryRejectsAfterFailoverTime(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		// The VM can't read the leadership record, so it doesn't lead the failover.
		w.VMs[0].Record.Unreachable.Store(true) // it orders no promotion
		w.VMs[1].Unreachable.Store(true)        // its peer is unreachable
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(0))
		time.Sleep(time.Second)
		s := w.Open(t, 0, clustertest.OwnWritesDB)
		began := time.Now()
		s.Do(context.Background(), write("early"))
		is.True(time.Since(began) > 500*time.Millisecond)
		time.Sleep(3 * time.Second)
		began = time.Now()
		is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeBusy)
		is.True(time.Since(began) < atOnce)
	})
}

// Work isn't forwarded to a VM that hosts the service and reaches none of its replicas.
func TestWorkIsNotForwardedToVMThatReachesNoReplica(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(1), clustertest.MemberID(2))
		time.Sleep(2 * time.Second)
		s := w.Open(t, 2, clustertest.PrimaryDB)
		began := time.Now()
		do(t, s, write("w"))
		do(t, s, read("r"))
		do(t, s, begin())
		do(t, s, write("t"))
		do(t, s, commit())
		is.True(time.Since(began) < 300*time.Millisecond)
	})
}

// A VM that can't reach the primary, or its replicas, forwards work to a peer that does.
// There must be no failover while other VMs reach the primary (regression: each primary
// that was unreachable for half of the VMs only was replaced).
func TestWorkIsForwardedToPeerThatReachesThePrimary(t *testing.T) {
	for name, off := range map[string][]int{"primary": {0}, "replicas": {1, 2}, "all": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 3, Lag: 60 * time.Millisecond}, func(is *is.I, w *clustertest.World) {
				open := w.Open(t, 0, clustertest.OwnWritesDB)
				do(t, open, write("before"))
				for _, i := range off {
					w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(i))
				}
				time.Sleep(1200 * time.Millisecond)
				began := time.Now()
				wrote := do(t, open, write("w"))
				do(t, open, read("r"))
				is.True(runOf(t, w.Cluster, "r").Log.Covers(wrote.Mark))
				for _, db := range []chervilladder.DatabaseID{clustertest.PrimaryDB, clustertest.BoundedDB} {
					s := w.Open(t, 0, db)
					do(t, s, read("r"+string(db)))
					do(t, s, begin())
					do(t, s, write("t"+string(db)))
					do(t, s, commit())
				}
				is.True(time.Since(began) < 400*time.Millisecond)
				other := w.Open(t, 1, clustertest.PrimaryDB)
				for i := range 40 { // callers of other VMs aren't delayed either
					began := time.Now()
					do(t, other, write(fmt.Sprint("o", i)))
					is.True(time.Since(began) < 200*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(len(w.Cluster.Promotions()), 0)

				for _, i := range off {
					w.VMs[0].Linker.SetUnreachable(false, clustertest.MemberID(i))
				}
				time.Sleep(time.Second)
				w.VMs[1].Unreachable.Store(true)
				w.VMs[2].Unreachable.Store(true)
				do(t, open, write("after")) // runs at this VM again
			})
		})
	}
}

// After the response to one command is lost, work is forwarded to a peer again once the
// peer has reported since then that it reaches the primary.
func TestPeerThatLostAResponseIsUsedAgain(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(0))
		time.Sleep(1200 * time.Millisecond)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		do(t, s, write("w"))
		w.VMs[1].LoseResponses.Store(true)
		is.Equal(s.Do(context.Background(), write("lost")).Code, chervilladder.CodeInDoubt)
		w.VMs[1].LoseResponses.Store(false)
		time.Sleep(500 * time.Millisecond)
		do(t, s, write("again"))
	})
}

// Two of three members are lost for good, the primary among them. The third may lack
// commits that they acknowledged, so nothing is promoted, and callers must be rejected
// at once, not at their timeouts.
func TestServiceWithoutAPrimaryRejectsAtOnce(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		for i := range 2 {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.Down = true })
		}
		time.Sleep(4 * time.Second)
		for _, vm := range w.VMs { // their registrations have expired
			vm.SetMembers(clustertest.Member(2))
		}
		time.Sleep(time.Second)
		for _, db := range []chervilladder.DatabaseID{clustertest.PrimaryDB, clustertest.OwnWritesDB} {
			s := w.Open(t, 0, db)
			began := time.Now()
			is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeBusy)
			is.True(time.Since(began) < atOnce)
		}
		is.Equal(len(w.Cluster.Promotions()), 0)
	})
}

// A VM that hasn't seen the primary of the term that a session has observed must not send
// the session's write to an older one.
func TestWriteWaitsForThePrimaryOfItsSessionsTerm(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		do(t, s, write("first"))
		synctest.Wait() // a poll that ends at this instant would correct the view at once
		view := &w.VMs[0].Board.Clusters.Get(clustertest.Service).View
		view.Update(func(v blackboard.ClusterView) blackboard.ClusterView {
			v.Term = 0
			return v
		})
		outdated := time.Now()
		do(t, s, write("second"))
		runs := runsOf(w.Cluster, "second")
		is.Equal(len(runs), 1)
		is.True(runs[0].At.After(outdated)) // not at once: the view was corrected by a poll first
		is.Equal(view.Load().Term, chervilladder.Term(1))
	})
}
