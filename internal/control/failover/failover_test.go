package failover_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// replacedWithin is the limit for a change of primary.
const replacedWithin = 6 * time.Second

func bubble(t *testing.T, c clustertest.Config, f func(t *testing.T, is *is.I, w *clustertest.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t), clustertest.New(t, c)) })
}

// awaitPrimary waits until a member other than the given one is primary.
func awaitPrimary(t *testing.T, w *clustertest.World, old chervilladder.UpstreamID) (chervilladder.UpstreamID, time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < replacedWithin {
		if id, _ := w.Cluster.Primary(); id != "" && id != old {
			return id, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no new primary")
	return "", 0
}

func write(w *clustertest.World, s chervilladder.Session, id string) chervilladder.Result {
	return s.Do(context.Background(), chervilladder.Command{Kind: chervilladder.CommandWrite, ID: chervilladder.CommandID(id), Rest: "1a4 x"})
}

// checkKept fails if an acknowledged commit is missing from the primary's log or occurs
// twice.
func checkKept(t *testing.T, w *clustertest.World, acked []string) {
	t.Helper()
	primary, _ := w.Cluster.Primary()
	count := make(map[chervilladder.CommandID]int)
	for _, e := range w.Cluster.Log(primary) {
		for _, c := range e.Commands {
			count[c.ID]++
		}
	}
	for _, id := range acked {
		if n := count[chervilladder.CommandID(id)]; n != 1 {
			t.Errorf("acknowledged write %s is %d times in the log of %s", id, n, primary)
		}
	}
}

func TestDeadPrimaryIsReplaced(t *testing.T) {
	for _, name := range []string{"down", "silent"} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
				s := w.Open(t, 1, clustertest.PrimaryDB)
				is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
				old := clustertest.MemberID(0)
				w.Cluster.Set(old, func(f *cluster.Faults) { f.Down, f.Silent = name == "down", name == "silent" })
				_, took := awaitPrimary(t, w, old)
				is.True(took < 3500*time.Millisecond)
				time.Sleep(600 * time.Millisecond)
				is.Equal(write(w, s, "after").Code, chervilladder.CodeNone)
				checkKept(t, w, []string{"before", "after"})
				w.Cluster.Set(old, func(f *cluster.Faults) { *f = cluster.Faults{} })
				time.Sleep(3 * time.Second)
				primary, term := w.Cluster.Primary()
				is.True(primary != old)
				is.Equal(term, chervilladder.Term(2)) // replaced once
			})
		})
	}
}

// A primary that the holder of the leadership can't reach keeps its role while a peer
// reaches it, and is replaced as soon as the peer can't reach it either.
func TestPrimaryThatAPeerReachesStays(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old := clustertest.MemberID(0)
		for i, vm := range w.VMs {
			if i != 1 {
				vm.Linker.SetUnreachable(true, old)
			}
		}
		s := w.Open(t, 1, clustertest.PrimaryDB)
		for i := range 60 {
			is.Equal(write(w, s, fmt.Sprint("w", i)).Code, chervilladder.CodeNone)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(w.Cluster.Promotions()), 0)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Silent = true })
		_, took := awaitPrimary(t, w, old)
		is.True(took < 4*time.Second)
		checkOrders(t, w)
	})
}

// A peer's reachability report doesn't keep a primary whose commits no replica confirms.
func TestPrimaryWithoutItsReplicasIsReplacedThoughAPeerReachesIt(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old := clustertest.MemberID(0)
		w.VMs[0].Linker.SetUnreachable(true, old)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.NoReplication = true })
		s := w.Open(t, 1, clustertest.PrimaryDB)
		go write(w, s, "unconfirmed")
		_, took := awaitPrimary(t, w, old)
		is.True(took < 4*time.Second)
	})
}

// The other replicas follow a new primary as soon as it is observed, even while no VM
// reaches the old one.
func TestReplicasFollowTheNewPrimaryAtOnce(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old := clustertest.MemberID(0)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Silent = true })
		primary, _ := awaitPrimary(t, w, old)
		began := time.Now()
		for _, i := range []int{1, 2} {
			for id := clustertest.MemberID(i); id != primary && w.Cluster.PauseTerm(id) != 0; {
				time.Sleep(time.Millisecond)
			}
		}
		is.True(time.Since(began) < 150*time.Millisecond) // a status request, 40 ms of waiting for the old primary, an order
	})
}

// A commit that is slow to apply delays all later ones at both replicas, so that the
// primary has to serve all reads and is overloaded. The replica that takes over has
// applied what it received, and the old primary is then an up-to-date replica. Without
// the replacement, work was rejected for 20 s (regression: incident inc-765e,
// salas-valle).
func TestPrimaryThatAllReplicasLagBehindIsReplaced(t *testing.T) {
	for name, readers := range map[string]int{"overloaded": 64, "light load": 1} {
		t.Run(name, func(t *testing.T) {
			slow := func(c *cluster.Config) { c.WorkTime = 50 * time.Millisecond }
			bubble(t, clustertest.Config{VMs: 2, Adjust: slow}, func(t *testing.T, is *is.I, w *clustertest.World) {
				for i := 1; i < 3; i++ {
					w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.Lag = 40 * time.Second })
				}
				var stop atomic.Bool
				var running sync.WaitGroup
				var refused atomic.Int64
				for i := range readers {
					s := w.Open(t, i%2, clustertest.BoundedDB)
					running.Go(func() {
						for !stop.Load() {
							r := s.Do(context.Background(), chervilladder.Command{Kind: chervilladder.CommandRead, ID: "r", Rest: "1a4"})
							if r.Code != chervilladder.CodeNone {
								refused.Add(1)
							}
							time.Sleep(600 * time.Millisecond)
						}
					})
				}
				writer := w.Open(t, 0, clustertest.PrimaryDB)
				var acked []string
				for i := range 300 {
					if id := fmt.Sprint("w", i); write(w, writer, id).Code == chervilladder.CodeNone {
						acked = append(acked, id)
					}
					if i == 20 {
						for i := 1; i < 3; i++ { // only commits up to here are delayed
							w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.Lag = 0 })
						}
					}
					if i == 200 {
						refused.Store(0)
					}
					time.Sleep(50 * time.Millisecond)
				}
				stop.Store(true)
				running.Wait()
				checkKept(t, w, acked)
				checkOrders(t, w)
				if name == "light load" {
					is.Equal(len(w.Cluster.Promotions()), 0) // nothing is rejected
					return
				}
				is.Equal(len(w.Cluster.Promotions()), 1)
				is.Equal(refused.Load(), int64(0)) // two members serve reads again
			})
		})
	}
}

func TestHealthyPrimaryStays(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.WorkTime = 300 * time.Millisecond })
		for i := range 50 {
			write(w, s, fmt.Sprint("w", i))
			time.Sleep(30 * time.Millisecond)
		}
		is.Equal(len(w.Cluster.Promotions()), 0) // a slow primary is not taken for a failed one
	})
}

// The replacement of a draining primary loses no commit that is acknowledged meanwhile.
// Commits that the unpaused replica confirmed after it had reported its status were
// lost (regression: benchmark, salas-valle trouble-1).
func TestLeavingPrimaryLosesNothing(t *testing.T) {
	for seed := range 25 {
		bubble(t, clustertest.Config{VMs: 2, Members: 4, Adjust: func(c *cluster.Config) {
			c.WorkTime = time.Millisecond
			c.ConnectTime = time.Duration(1+seed) * time.Millisecond
		}}, func(t *testing.T, is *is.I, w *clustertest.World) {
			var acked []string
			var stop atomic.Bool
			ended := make(chan []string)
			for k := range 2 {
				s := w.Open(t, k, clustertest.PrimaryDB)
				go func() {
					var list []string
					for i := 0; !stop.Load(); i++ {
						id := fmt.Sprintf("w%d-%d", k, i)
						if write(w, s, id).Code == chervilladder.CodeNone {
							list = append(list, id)
						}
						time.Sleep(time.Duration(1+(i*7+seed)%5) * time.Millisecond)
					}
					ended <- list
				}()
			}
			// Replicas are paused one after the other, and those that are not paused yet
			// confirm commits on their own.
			pausing := func(id chervilladder.UpstreamID, c chervilladder.Command) {
				if c.Kind == chervilladder.CommandPause && id == clustertest.MemberID(1+seed%3) {
					time.Sleep(time.Duration(seed%7) * 4 * time.Millisecond)
				}
			}
			for _, vm := range w.VMs {
				vm.Linker.OnStatus(pausing)
			}
			time.Sleep(200 * time.Millisecond)
			members := []chervilladder.Registered{clustertest.Member(0), clustertest.Member(1), clustertest.Member(2), clustertest.Member(3)}
			members[0].Draining = true
			for _, vm := range w.VMs {
				vm.SetMembers(members...)
			}
			awaitPrimary(t, w, clustertest.MemberID(0))
			time.Sleep(2 * time.Second)
			stop.Store(true)
			for range 2 {
				acked = append(acked, <-ended...)
			}
			checkKept(t, w, acked)
			is.True(len(acked) > 300)
			for i := 1; i < 4; i++ {
				is.Equal(w.Cluster.PauseTerm(clustertest.MemberID(i)), chervilladder.Term(0)) // no replica stays paused
			}
		})
	}
}

func TestNothingIsPromotedWhileAReplicaIsUnreachable(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		w.Cluster.Set(clustertest.MemberID(2), func(f *cluster.Faults) { f.Silent = true })
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent = true })
		time.Sleep(10 * time.Second)
		is.Equal(len(w.Cluster.Promotions()), 0)
		w.Cluster.Set(clustertest.MemberID(2), func(f *cluster.Faults) { f.Silent = false })
		awaitPrimary(t, w, clustertest.MemberID(0))
	})
}

func TestTheReplicaThatHoldsMostTakesOver(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		w.Cluster.Set(clustertest.MemberID(1), func(f *cluster.Faults) { f.NoReplication = true }) // receives nothing
		var acked []string
		for i := range 10 {
			is.Equal(write(w, s, fmt.Sprint("w", i)).Code, chervilladder.CodeNone)
			acked = append(acked, fmt.Sprint("w", i))
		}
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		primary, _ := awaitPrimary(t, w, clustertest.MemberID(0))
		is.Equal(primary, clustertest.MemberID(2))
		checkKept(t, w, acked)
	})
}

// The response to a promotion order is lost, and the holder can't reach the promoted
// member while the old primary is back. The other replica must not confirm the old
// primary's commits (regression: soak test, seed 4).
func TestNoCommitOfTheOldPrimaryIsConfirmedAfterAPromotionOrder(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		vm, old := w.VMs[0], clustertest.MemberID(0)
		vm.Promoter.LoseResponses.Store(true)
		vm.Promoter.OnOrder(func(id chervilladder.UpstreamID) {
			vm.Linker.SetUnreachable(true, id)
			w.Cluster.Set(old, func(f *cluster.Faults) { f.NoReplication = false })
			w.Cluster.Set(id, func(f *cluster.Faults) { f.NoReplication = true })
		})
		time.Sleep(12 * time.Second)
		w.Cluster.Set(old, func(f *cluster.Faults) { f.NoReplication = true })
		var acked []string
		s := w.Open(t, 0, clustertest.PrimaryDB)
		for i := range 200 {
			id := fmt.Sprint("w", i)
			if write(w, s, id).Code == chervilladder.CodeNone {
				acked = append(acked, id)
			}
			time.Sleep(40 * time.Millisecond)
		}
		checkKept(t, w, acked)
	})
}

// All VMs stop between the demotion of the old primary and the promotion order, and
// start again. They have observed no primary, and all members report that they are
// replicas; no member ever became primary (regression: soak test, seed 7, faults for ten
// seconds).
func TestReplacementInterruptedByARestartOfAllVMsIsCompleted(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
		for _, vm := range w.VMs {
			vm.Stop()
		}
		for i, kind := range []chervilladder.CommandKind{chervilladder.CommandStepDown, chervilladder.CommandPause, chervilladder.CommandPause} {
			c, err := w.Cluster.Connect(clustertest.MemberID(i), clustertest.Service, "", nil)
			is.NoErr(err)
			_, err = c.Control(chervilladder.Command{Kind: kind, Term: 2})
			is.NoErr(err)
			c.Close()
		}
		w.Restart(t, clustertest.Member(0), clustertest.Member(1), clustertest.Member(2))
		began := time.Now()
		for primary := chervilladder.UpstreamID(""); primary == ""; primary, _ = w.Cluster.Primary() {
			time.Sleep(50 * time.Millisecond)
			is.True(time.Since(began) < 10*time.Second)
		}
		time.Sleep(time.Second)
		again := w.Open(t, 1, clustertest.PrimaryDB)
		is.Equal(write(w, again, "after").Code, chervilladder.CodeNone)
		checkKept(t, w, []string{"before", "after"})
	})
}

// A VM that starts while the primary's entry is missing observes replicas only. It must
// wait longer than a missing entry needs to be registered again.
func TestPrimaryWhoseEntryIsMissingStays(t *testing.T) {
	bubble(t, clustertest.Config{}, func(t *testing.T, is *is.I, w *clustertest.World) {
		w.Restart(t, clustertest.Member(1), clustertest.Member(2))
		time.Sleep(4 * time.Second)
		is.Equal(len(w.Cluster.Promotions()), 0)
		w.VMs[0].SetMembers(clustertest.Member(0), clustertest.Member(1), clustertest.Member(2))
		time.Sleep(10 * time.Second)
		is.Equal(len(w.Cluster.Promotions()), 0)
		primary, term := w.Cluster.Primary()
		is.Equal(primary, clustertest.MemberID(0))
		is.Equal(term, chervilladder.Term(1))
	})
}
