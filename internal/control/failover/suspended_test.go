package failover_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The holder is suspended between its order and the order's effect. Meanwhile another VM
// takes over and pauses a replica for a later replacement. If the old holder resumes
// that replica, the replica's status makes a replaced primary count as current
// (regression: replication lag, ncdaf-ladder lag-212).
func TestSuspendedHolderResumesNoReplica(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		vm, old := w.VMs[0], clustertest.MemberID(0)
		var other chervilladder.UpstreamID
		var suspended atomic.Bool
		vm.Promoter.OnOrder(func(id chervilladder.UpstreamID) {
			if suspended.Swap(true) {
				return
			}
			vm.Suspend(4 * time.Second)
			l, err := vm.Record.ReadLeadership(context.Background())
			is.NoErr(err)
			l.Holder, l.Epoch = "vm-9", l.Epoch+1
			_, err = vm.Record.WriteLeadership(context.Background(), l)
			is.NoErr(err)
			for i := 1; i < 3; i++ {
				if m := clustertest.MemberID(i); m != id {
					other = m
					c, err := w.Cluster.Connect(m, clustertest.Service, "", nil)
					is.NoErr(err)
					_, err = c.Control(chervilladder.Command{Kind: chervilladder.CommandPause, Term: 9})
					is.NoErr(err)
					c.Close()
				}
			}
		})
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		awaitPrimary(t, w, old)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(w.Cluster.PauseTerm(other), chervilladder.Term(9))
		}
	})
}

// A replica joins during the planned replacement of a draining primary, which continues
// until its successor leads. The new replica is not paused, and could confirm commits
// that the successor no longer receives (regression: replication lag, ncdaf-ladder
// lag-214).
func TestReplicaThatStartsInAPlannedReplacementConfirmsNothing(t *testing.T) {
	for seed := range 10 {
		bubble(t, clustertest.Config{VMs: 2, Adjust: func(c *cluster.Config) { c.WorkTime = time.Millisecond }}, func(t *testing.T, is *is.I, w *clustertest.World) {
			members := []chervilladder.Registered{clustertest.Member(0), clustertest.Member(1), clustertest.Member(2)}
			members[0].Draining = true
			var stop atomic.Bool
			ended := make(chan []string)
			for k := range 4 {
				s := w.Open(t, k%2, clustertest.PrimaryDB)
				go func() {
					var list []string
					for i := 0; !stop.Load(); i++ {
						if id := fmt.Sprintf("w%d-%d", k, i); write(w, s, id).Code == chervilladder.CodeNone {
							list = append(list, id)
						}
						time.Sleep(time.Duration(1+(i*3+seed)%4) * time.Millisecond)
					}
					ended <- list
				}()
			}
			for _, vm := range w.VMs {
				vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {
					w.Cluster.Add(clustertest.Member(3))
					time.AfterFunc(time.Duration(20+seed*40)*time.Millisecond, func() {
						for _, vm := range w.VMs {
							vm.SetMembers(append(members, clustertest.Member(3))...)
						}
					})
				})
			}
			time.Sleep(200 * time.Millisecond)
			for _, vm := range w.VMs {
				vm.SetMembers(members...)
			}
			awaitPrimary(t, w, clustertest.MemberID(0))
			time.Sleep(2 * time.Second)
			stop.Store(true)
			var acked []string
			for range 4 {
				acked = append(acked, <-ended...)
			}
			is.True(len(acked) > 300)
			if n := len(missing(w, acked)); n > 0 {
				t.Errorf("seed %d: %d of %d acknowledged writes are gone", seed, n, len(acked))
			}
		})
	}
}

// missing returns the writes that are not in the primary's log.
func missing(w *clustertest.World, ids []string) []string {
	primary, _ := w.Cluster.Primary()
	present := make(map[string]bool)
	for _, e := range w.Cluster.Log(primary) {
		for _, c := range e.Commands {
			present[string(c.ID)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return present[id] })
}
