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

// The candidate of a planned replacement is gone for good after its order, and commits that
// it alone has confirmed are on the leaving primary's log only. That one ends seven seconds
// later (regression: review/1).
func TestCommitsOfAPlannedReplacementOutliveALostCandidate(t *testing.T) {
	for name, lostAfter := range map[string]time.Duration{"before the order": -100 * time.Millisecond, "after the order": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
				leaving := clustertest.Member(0)
				leaving.Draining = true
				var lost atomic.Pointer[chervilladder.UpstreamID]
				lose := func(candidate chervilladder.UpstreamID) {
					if lost.CompareAndSwap(nil, &candidate) {
						w.Cluster.Remove(candidate)
					}
				}
				for _, vm := range w.VMs {
					vm.Linker.OnStatus(func(id chervilladder.UpstreamID, c chervilladder.Command) {
						if c.Kind == chervilladder.CommandPause && lostAfter < 0 {
							time.AfterFunc(500*time.Millisecond+lostAfter, func() { lose(other(id)) })
						}
					})
					vm.Promoter.OnOrder(func(candidate chervilladder.UpstreamID) {
						time.AfterFunc(lostAfter, func() { lose(candidate) })
					})
				}
				stop := writeFrom(t, w, 4)
				time.Sleep(4 * time.Second)
				for _, vm := range w.VMs {
					vm.SetMembers(leaving, clustertest.Member(1), clustertest.Member(2))
				}
				time.Sleep(3 * time.Second) // the lost one's entry expires
				is.True(lost.Load() != nil)
				left := []chervilladder.Registered{leaving, clustertest.Member(2)}
				if *lost.Load() == clustertest.MemberID(2) {
					left[1] = clustertest.Member(1)
				}
				for _, vm := range w.VMs {
					vm.SetMembers(left...)
				}
				time.Sleep(7 * time.Second)
				w.Cluster.Remove(leaving.ID)
				w.Cluster.Add(clustertest.Member(3)) // the leaving one's successor
				for _, vm := range w.VMs {
					vm.SetMembers(left[1], clustertest.Member(3))
				}
				time.Sleep(8 * time.Second)
				checkServedAndKept(t, w, stop)
			})
		})
	}
}

// other returns the other replica of three members.
func other(id chervilladder.UpstreamID) chervilladder.UpstreamID {
	if id == clustertest.MemberID(1) {
		return clustertest.MemberID(2)
	}
	return clustertest.MemberID(1)
}

// checkServedAndKept fails if no write is acknowledged within the time that the explorer
// grants, or if a promotion has lost an acknowledged commit.
func checkServedAndKept(t *testing.T, w *clustertest.World, stop func() []string) {
	t.Helper()
	served := false
	for i, began := 0, time.Now(); !served && time.Since(began) < servedWithin; i++ {
		s := w.Open(t, i%len(w.VMs), clustertest.PrimaryDB)
		served = write(w, s, fmt.Sprint("served", i)).Code == chervilladder.CodeNone
		time.Sleep(100 * time.Millisecond)
	}
	acked := stop()
	if !served {
		t.Fatal("no write is acknowledged any more")
	}
	checkNothingLost(t, w, acked)
}

// The chosen replica starts again, empty, between its answer to the pause and the order, and
// no VM has learnt of it by then (regression: review/2).
func TestCandidateThatStartsAgainUnnoticedIsNotOrdered(t *testing.T) {
	for after := 150 * time.Millisecond; after < 500*time.Millisecond; after += 48 * time.Millisecond {
		bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
			old := clustertest.MemberID(0)
			var again atomic.Bool
			for _, vm := range w.VMs {
				vm.Linker.OnStatus(func(id chervilladder.UpstreamID, c chervilladder.Command) {
					if c.Kind == chervilladder.CommandPause && id == clustertest.MemberID(1) && !again.Swap(true) {
						time.AfterFunc(after, func() {
							w.Cluster.Remove(id)
							w.Cluster.Add(clustertest.Member(1))
						})
					}
				})
			}
			stop := writeFrom(t, w, 4)
			time.Sleep(4 * time.Second)
			w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
			awaitPrimary(t, w, old)
			time.Sleep(2 * time.Second)
			is.True(again.Load())
			checkServedAndKept(t, w, stop)
		})
	}
}

// The holder ends while its order is held up on the way, and another VM promotes another
// replica. The first order's candidate receives nothing of the new term, and the order takes
// effect seconds later.
func TestOrderThatTakesEffectAfterALaterPromotionLosesNothing(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2, Members: 4}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old, late := clustertest.MemberID(0), clustertest.Member(1)
		late.Draining = true
		var ended atomic.Bool
		for i, vm := range w.VMs {
			next := w.VMs[1-i]
			vm.Promoter.Delay.Store(int64(time.Hour)) // held up on the way
			vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {
				if ended.Swap(true) {
					return
				}
				next.Promoter.Delay.Store(0)
				time.AfterFunc(10*time.Millisecond, vm.Kill)
				time.AfterFunc(20*time.Millisecond, func() {
					w.Cluster.Set(late.ID, func(f *cluster.Faults) { f.NoReplication = true })
					next.SetMembers(clustertest.Member(0), late, clustertest.Member(2), clustertest.Member(3)) // the others are preferred now
				})
				time.AfterFunc(7*time.Second, func() {
					if err := w.Cluster.Promote(vm.Board.Self.ID, 1, late.ID); err != nil {
						t.Error(err)
					}
				})
			})
		}
		stop := writeFrom(t, w, 4)
		time.Sleep(4 * time.Second)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		time.Sleep(10 * time.Second)
		is.Equal(len(w.Cluster.Effects()), 2)
		w.Cluster.Set(late.ID, func(f *cluster.Faults) { f.NoReplication = false })
		for _, vm := range w.VMs {
			vm.SetMembers(clustertest.Member(1), clustertest.Member(2), clustertest.Member(3))
		}
		checkServedAndKept(t, w, stop)
	})
}

// The candidate starts again, empty, while its order is held up on the way. The order can't
// be recalled; it must find the candidate with the log of another one that leads by then.
func TestCandidateThatStartsAgainAfterItsOrderIsOvertaken(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		var ordered atomic.Bool
		for _, vm := range w.VMs {
			vm.Promoter.Delay.Store(int64(2500 * time.Millisecond))
			vm.Promoter.OnOrder(func(candidate chervilladder.UpstreamID) {
				if ordered.Swap(true) {
					return
				}
				for _, vm := range w.VMs {
					vm.Promoter.Delay.Store(0)
				}
				time.AfterFunc(300*time.Millisecond, func() {
					w.Cluster.Remove(candidate)
					w.Cluster.Add(clustertest.Member(1))
				})
			})
		}
		stop := writeFrom(t, w, 4)
		time.Sleep(4 * time.Second)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		time.Sleep(8 * time.Second)
		checkServedAndKept(t, w, stop)
		is.Equal(len(w.Cluster.Effects()), 2)
	})
}

// The candidate of a planned replacement starts again, empty, while its order is held up, and
// a replica has joined. The old primary must be there for the candidate to receive its log
// from (regression: explorer, seed 10394 with -explore.orders).
func TestReplicaThatJoinsInAPlannedReplacementLeavesTheOldPrimary(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		leaving := clustertest.Member(0)
		leaving.Draining = true
		vm := w.VMs[0]
		vm.Promoter.Delay.Store(int64(3 * time.Second))
		vm.Promoter.OnOrder(func(candidate chervilladder.UpstreamID) {
			w.Cluster.Add(clustertest.Member(3))
			vm.SetMembers(leaving, clustertest.Member(1), clustertest.Member(2), clustertest.Member(3))
			time.AfterFunc(time.Second, func() {
				w.Cluster.Remove(candidate)
				w.Cluster.Add(clustertest.Member(1))
			})
			vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {})
		})
		stop := writeFrom(t, w, 4)
		time.Sleep(4 * time.Second)
		vm.SetMembers(leaving, clustertest.Member(1), clustertest.Member(2))
		time.Sleep(6 * time.Second)
		checkServedAndKept(t, w, stop)
		is.True(len(w.Cluster.Effects()) > 0)
	})
}
