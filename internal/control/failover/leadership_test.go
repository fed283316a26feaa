package failover_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The holder of the leadership fails at the same time as the primary.
func TestAnotherVMTakesOverLeadership(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		holder := holderOf(w)
		w.VMs[holder].Stop()
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		_, took := awaitPrimary(t, w, clustertest.MemberID(0))
		is.True(took < replacedWithin)
		checkOrders(t, w)
	})
}

// Each write of the record changes its revision, also a write of the same content. Other
// VMs take over once the record has not changed for takeOverAfter, and the holder counts
// from its last write. Without a new revision, a holder that wrote the same attempt again
// looked inactive to the other VMs, and two VMs ordered promotions (regression: fault
// injection, salas-valle mix, seed 64401370388).
func TestEachWriteChangesTheRevision(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		var mu sync.Mutex
		var revisions []chervilladder.StoreRevision
		for _, vm := range w.VMs {
			vm.Record.OnWrite(func(l chervilladder.Leadership) {
				mu.Lock()
				defer mu.Unlock()
				revisions = append(revisions, l.Revision)
			})
		}
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		awaitPrimary(t, w, clustertest.MemberID(0))
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.True(len(revisions) >= 2)
		for i := range revisions[1:] {
			is.True(revisions[i+1].After(revisions[i]))
		}
	})
}

func holderOf(w *clustertest.World) int {
	l, err := w.VMs[0].Record.ReadLeadership(context.Background())
	if err != nil {
		panic(err)
	}
	for i, vm := range w.VMs {
		if vm.Board.Self.ID == l.Holder {
			return i
		}
	}
	panic("no VM holds the failover leadership")
}

// checkOrders fails if epochs decrease, or if two holders use the same one.
func checkOrders(t *testing.T, w *clustertest.World) {
	t.Helper()
	holders := make(map[chervilladder.Epoch]chervilladder.VMID)
	last := chervilladder.Epoch(0)
	for _, o := range w.Cluster.Promotions() {
		if o.Epoch < last {
			t.Errorf("epoch %d was ordered after %d", o.Epoch, last)
		}
		last = o.Epoch
		if h, ok := holders[o.Epoch]; ok && h != o.Holder {
			t.Errorf("epoch %d was used by %s and %s", o.Epoch, h, o.Holder)
		}
		holders[o.Epoch] = o.Holder
	}
}

// A holder that is suspended between its pause of the replicas and its promotion order
// must not send the order once another VM has taken over.
func TestSuspendedHolderOrdersNothingOutdated(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
			holder := w.VMs[holderOf(w)]
			var suspended atomic.Bool
			holder.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
				if c.Kind == chervilladder.CommandPause && !suspended.Swap(true) {
					time.Sleep(pause)
				}
			})
			w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
			awaitPrimary(t, w, clustertest.MemberID(0))
			time.Sleep(5 * time.Second)
			checkOrders(t, w)
		})
	}
}

// A holder is suspended after its last step before the promotion order, and doesn't
// observe that another VM takes over and replaces the primary meanwhile.
func TestHolderSuspendedBeforeItsOrder(t *testing.T) {
	for _, pause := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
			old := clustertest.MemberID(0)
			setNoReplication := func(a bool) {
				for i := 1; i < 3; i++ {
					w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.NoReplication = a })
				}
			}
			var suspended atomic.Bool
			for _, vm := range w.VMs {
				vm.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
					if c.Kind == chervilladder.CommandStepDown && !suspended.Swap(true) {
						vm.Linker.SetUnreachable(true, old, clustertest.MemberID(1), clustertest.MemberID(2))
						vm.Record.Unreachable.Store(true)
						time.Sleep(pause)
						vm.Record.Unreachable.Store(false)
					}
				})
			}
			setNoReplication(true)
			s := w.Open(t, 0, clustertest.PrimaryDB)
			write(w, s, "unconfirmed")
			awaitPrimary(t, w, old)
			setNoReplication(false)
			time.Sleep(6 * time.Second)
			is.True(suspended.Load())
			checkOrders(t, w)
		})
	}
}

// The response to the holder's write of the record is lost.
func TestLostResponseToARecordWrite(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		holder := w.VMs[holderOf(w)]
		holder.Record.LoseResponses.Store(true)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		time.Sleep(time.Second)
		holder.Record.LoseResponses.Store(false)
		awaitPrimary(t, w, clustertest.MemberID(0))
		checkOrders(t, w)
	})
}

// Nothing is promoted while the record is unavailable; the promotion follows once it is
// available.
func TestNothingIsPromotedWithoutTheRecord(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		for _, vm := range w.VMs {
			vm.Record.Unreachable.Store(true)
		}
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		time.Sleep(8 * time.Second)
		is.Equal(len(w.Cluster.Promotions()), 0)
		for _, vm := range w.VMs {
			vm.Record.Unreachable.Store(false)
		}
		awaitPrimary(t, w, clustertest.MemberID(0))
	})
}

// A VM that leaves releases its leadership, so that another one needn't wait to take
// over.
func TestLeavingHolderReleasesLeadership(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		close(w.VMs[holderOf(w)].ResignLeadership)
		time.Sleep(100 * time.Millisecond)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		_, took := awaitPrimary(t, w, clustertest.MemberID(0))
		is.True(took < 3500*time.Millisecond)
		checkOrders(t, w)
	})
}

// A holder that leaves between its order and the order's effect keeps the leadership
// until then: another VM would observe no primary and order a second promotion
// (regression: fault injection, salas-valle leaving-while-holder-is-frozen, seed
// 94302765638).
func TestLeavingHolderKeepsLeadershipDuringReplacement(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old, holder := clustertest.MemberID(0), w.VMs[holderOf(w)]
		var resigned sync.Once
		holder.Promoter.OnOrder(func(chervilladder.UpstreamID) { resigned.Do(func() { close(holder.ResignLeadership) }) })
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		for began := time.Now(); time.Since(began) < replacedWithin; time.Sleep(10 * time.Millisecond) {
			if id, _ := w.Cluster.Primary(); id != old {
				break
			}
			l, err := w.VMs[0].Record.ReadLeadership(t.Context())
			is.NoErr(err)
			is.Equal(l.Holder, holder.Board.Self.ID) // while its replacement is in progress
		}
		time.Sleep(time.Second)
		l, err := w.VMs[0].Record.ReadLeadership(t.Context())
		is.NoErr(err)
		is.True(l.Holder != holder.Board.Self.ID) // released once the new primary is observed
		is.Equal(len(w.Cluster.Promotions()), 1)
	})
}

// An order of a former holder takes effect while the new holder has paused the replicas.
// The new holder orders nothing, and has the replicas follow the new primary.
func TestOrderOfAFormerHolderThatTakesEffectLate(t *testing.T) {
	for _, effect := range []time.Duration{1500, 1600, 1700, 1800, 1900} {
		c := clustertest.Config{VMs: 2, Adjust: func(c *cluster.Config) { c.PromoteTime = effect * time.Millisecond }}
		bubble(t, c, func(t *testing.T, is *is.I, w *clustertest.World) {
			old, first := clustertest.MemberID(0), holderOf(w)
			holder := w.VMs[first]
			holder.Promoter.OnOrder(func(chervilladder.UpstreamID) { go holder.Stop() })
			w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
			awaitPrimary(t, w, old)
			began := time.Now()
			s := w.Open(t, 1-first, clustertest.PrimaryDB)
			for i := 0; write(w, s, fmt.Sprint("w", i)).Code != chervilladder.CodeNone && time.Since(began) < replacedWithin; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			is.True(time.Since(began) < 1500*time.Millisecond)
			time.Sleep(5 * time.Second)
			is.Equal(len(w.Cluster.Promotions()), 1)
		})
	}
}

// The holder ends while it replaces a primary: the replicas are paused, and nothing is
// ordered yet. Another VM takes the leadership over and completes the replacement.
func TestReplacementOfAVMThatEndsIsCompleted(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(t *testing.T, is *is.I, w *clustertest.World) {
		old, first := clustertest.MemberID(0), holderOf(w)
		holder := w.VMs[first]
		s := w.Open(t, (first+1)%3, clustertest.PrimaryDB)
		is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
		var ending atomic.Bool
		holder.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
			if c.Kind == chervilladder.CommandPause && !ending.Swap(true) {
				go func() {
					close(holder.ResignLeadership)
					holder.Stop()
				}()
			}
		})
		w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
		_, took := awaitPrimary(t, w, old)
		is.True(took < replacedWithin)
		time.Sleep(time.Second)
		is.Equal(len(w.Cluster.Promotions()), 1)
		checkOrders(t, w)
		checkKept(t, w, []string{"before"})
	})
}
