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

// The known replicas receive nothing, and one that no VM knows confirms alone.
func TestCommitsOfACutOffPrimaryThatAnUnknownReplicaHoldsAreNotAcknowledged(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		writers := startWriters(t, w, 4, 0, 1)
		time.Sleep(200 * time.Millisecond)
		w.Cluster.Add(clustertest.Member(3))
		for i := 1; i < 3; i++ {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.NoReplication = true })
		}
		awaitPrimary(t, w, clustertest.MemberID(0))
		for i := 1; i < 3; i++ {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.NoReplication = false })
		}
		time.Sleep(2 * time.Second)
		acked := writers.stop()
		if lost := missing(w, acked); len(lost) > 0 {
			t.Errorf("%d of %d acknowledged writes are gone", len(lost), len(acked))
		}
	})
}

// replaceLeaving replaces a draining primary while a replica that isn't registered confirms.
func replaceLeaving(t *testing.T, stepDownTakes time.Duration, registered func(w *clustertest.World, members []chervilladder.Registered)) {
	bubble(t, clustertest.Config{VMs: 2, Members: 2, Adjust: func(c *cluster.Config) { c.WorkTime = time.Millisecond }}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		for _, vm := range w.VMs {
			vm.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
				if c.Kind == chervilladder.CommandStepDown {
					time.Sleep(stepDownTakes)
				}
			})
		}
		members := []chervilladder.Registered{clustertest.Member(0), clustertest.Member(1)}
		members[0].Draining = true
		writers := startWriters(t, w, 8, 0, 1)
		time.Sleep(200 * time.Millisecond)
		w.Cluster.Add(clustertest.Member(2))
		for _, vm := range w.VMs {
			vm.SetMembers(members...)
		}
		if registered != nil {
			registered(w, append(members, clustertest.Member(2)))
		}
		awaitPrimary(t, w, clustertest.MemberID(0))
		time.Sleep(2 * time.Second)
		acked := writers.stop()
		is.True(len(acked) > 100)
		lost := missing(w, acked)
		t.Logf("step-down takes %s: %d of %d lost, promotions %v", stepDownTakes, len(lost), len(acked), w.Cluster.Promotions())
		if len(lost) > 0 {
			t.Errorf("step-down takes %s: %d of %d acknowledged writes are gone", stepDownTakes, len(lost), len(acked))
		}
	})
}

// Guards against a settled primary that is about to be replaced.
func TestCommitsOfALeavingPrimaryThatAnUnknownReplicaHoldsAreNotAcknowledged(t *testing.T) {
	for _, d := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		replaceLeaving(t, d, nil)
	}
}

// The same for a replica that registers before the order.
func TestCommitsOfALeavingPrimaryThatALateReplicaHoldsAreNotAcknowledged(t *testing.T) {
	for _, d := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond} {
		replaceLeaving(t, d, func(w *clustertest.World, members []chervilladder.Registered) {
			time.AfterFunc(700*time.Millisecond, func() {
				for _, vm := range w.VMs {
					vm.SetMembers(members...)
				}
			})
		})
	}
}

// The same for a replica that the holder can't reach.
func TestCommitsOfALeavingPrimaryThatAnUnreachableReplicaHoldsAreNotAcknowledged(t *testing.T) {
	for _, d := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond} {
		replaceLeaving(t, d, func(w *clustertest.World, members []chervilladder.Registered) {
			w.VMs[holderOf(w)].Linker.SetUnreachable(true, clustertest.MemberID(2))
			time.AfterFunc(150*time.Millisecond, func() {
				for _, vm := range w.VMs {
					vm.SetMembers(members...)
				}
			})
		})
	}
}

// The replica that alone holds the last commits starts again, empty, after its pause. Another
// pause must not forget what it held.
func TestLogOfAPausedReplicaThatStartsAgainIsNotForgotten(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
		time.Sleep(600 * time.Millisecond)
		var acked []string
		w.Cluster.Set(clustertest.MemberID(2), func(f *cluster.Faults) { f.NoReplication = true })
		for _, id := range []string{"a", "b", "c"} {
			if write(w, s, id).Code == chervilladder.CodeNone {
				acked = append(acked, id)
			}
		}
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
		w.Cluster.Set(clustertest.MemberID(2), func(f *cluster.Faults) { f.NoReplication = false })
		var once atomic.Bool
		w.VMs[0].Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
			if c.Kind == chervilladder.CommandPause && !once.Swap(true) {
				time.AfterFunc(150*time.Millisecond, func() {
					reborn := clustertest.Member(1)
					reborn.Born = time.UnixMilli(7)
					w.Cluster.Remove(reborn.ID)
					w.Cluster.Add(reborn)
					w.VMs[0].SetMembers(clustertest.Member(0), reborn, clustertest.Member(2))
				})
			}
		})
		time.Sleep(6 * time.Second)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent = false })
		time.Sleep(3 * time.Second)
		t.Logf("acked %v, promotions %v", acked, w.Cluster.Promotions())
		if lost := missing(w, acked); len(lost) > 0 {
			t.Errorf("%v of %v are gone", lost, acked)
		}
	})
}

// Replicas that accept no connection for a status put no write in doubt.
func TestWritesGoOnBesideFullReplicas(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		w.VMs[0].Linker.SetFull(true, clustertest.MemberID(1), clustertest.MemberID(2))
		codes := map[chervilladder.Code]int{}
		for i := range 100 {
			codes[write(w, s, string(rune('a'+i%26))+time.Now().Format("150405.000")).Code]++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%v", codes)
		if codes[chervilladder.CodeInDoubt] > 0 {
			t.Errorf("in doubt: %d of 100", codes[chervilladder.CodeInDoubt])
		}
	})
}

// The record's renewal before the order takes long, and the candidate starts again, empty.
func TestCandidateThatStartsAgainDuringARenewalIsNotPromoted(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		var acked []string
		for _, id := range []string{"a", "b", "c"} {
			if write(w, s, id).Code == chervilladder.CodeNone {
				acked = append(acked, id)
			}
		}
		time.Sleep(time.Second)
		var writes atomic.Int64
		w.VMs[0].Record.OnWrite(func(chervilladder.Leadership) {
			if writes.Add(1) == 2 {
				time.AfterFunc(200*time.Millisecond, func() {
					reborn := clustertest.Member(1)
					reborn.Born = time.UnixMilli(7)
					w.Cluster.Remove(reborn.ID)
					w.Cluster.Add(reborn)
					w.VMs[0].SetMembers(clustertest.Member(0), reborn, clustertest.Member(2))
				})
			}
			time.Sleep(700 * time.Millisecond)
		})
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
		time.Sleep(8 * time.Second)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent, f.NoReplication = false, false })
		time.Sleep(3 * time.Second)
		t.Logf("acked %v, promotions %v", acked, w.Cluster.Promotions())
		if lost := missing(w, acked); len(lost) > 0 {
			t.Errorf("%v of %v are gone", lost, acked)
		}
	})
}

// The store is slow; the primary is back long before the attempt pauses the replicas.
func TestPrimaryThatIsBackWhileTheRecordIsWrittenStays(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		var once atomic.Bool
		w.VMs[0].Record.OnWrite(func(chervilladder.Leadership) {
			if !once.Swap(true) {
				time.AfterFunc(100*time.Millisecond, func() {
					w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent = false })
				})
			}
			time.Sleep(900 * time.Millisecond)
		})
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Silent = true })
		time.Sleep(8 * time.Second)
		is.True(once.Load())
		if n := len(w.Cluster.Promotions()); n > 0 {
			t.Errorf("a primary that was back was replaced %d times", n)
		}
	})
}

// Another VM pauses the replicas just after this VM's poll.
func TestCommitRightAfterAPauseThatOnlyANewReplicaHoldsIsNotAcknowledged(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		time.Sleep(4 * time.Second)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
		w.Cluster.Add(clustertest.Member(3))
		is.NoErr(pauseReplicas(w, 2)) // another VM, right after the last poll
		code := write(w, s, "only-m3").Code
		t.Logf("code %v; m1 %d, m2 %d, m3 %d entries", code, len(w.Cluster.Log("m1")), len(w.Cluster.Log("m2")), len(w.Cluster.Log("m3")))
		if code == chervilladder.CodeNone {
			t.Error("success, though both known replicas are paused and lack the commit")
		}
	})
}
