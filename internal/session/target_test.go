package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
)

// spendRetries uses up a VM's retry budget for the service.
func spendRetries(vm *clustertest.VM) {
	for vm.Board.Clusters.Get(clustertest.Service).Retries.Spend() {
	}
}

// A VM that refuses to run work has run nothing, so the work goes to another VM at once,
// without a delay and without a retry of the budget, as a statement and as a transaction.
func TestRefusedWorkRunsElsewhereAtOnce(t *testing.T) {
	for name, refuse := range map[string]func(vm *clustertest.VM){
		"draining":    func(vm *clustertest.VM) { vm.RejectPeers.Store(true) },
		"unreachable": func(vm *clustertest.VM) { vm.Unreachable.Store(true) },
		"no primary": func(vm *clustertest.VM) {
			vm.Linker.SetUnreachable(true, clustertest.MemberID(0))
			time.Sleep(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, inTransaction := range []bool{false, true} {
				forwarding(t, func(is *is.I, w *clustertest.World) {
					refuse(w.VMs[0])
					spendRetries(w.VMs[2])
					s := w.Open(t, 2, clustertest.PrimaryDB)
					began := time.Now()
					if inTransaction {
						do(t, s, begin())
						do(t, s, write("w"))
						do(t, s, commit())
					} else {
						do(t, s, write("w"))
					}
					is.True(time.Since(began) < 300*time.Millisecond)
					is.Equal(len(runsOf(w.Cluster, "w")), 1)
				})
			}
		})
	}
}

// Work that no VM can run is refused after one host has said so, not by asking them all.
func TestWorkThatNoHostCanRunIsRefusedAtOnce(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 4}, func(is *is.I, w *clustertest.World) {
		w.ForwardToHosts(3, 3, 0, 1, 2)
		for _, vm := range w.VMs[:3] {
			vm.Linker.SetUnreachable(true, clustertest.MemberID(0), clustertest.MemberID(1), clustertest.MemberID(2))
		}
		time.Sleep(4 * time.Second)
		s := w.Open(t, 3, clustertest.PrimaryDB)
		for range 3 {
			s.Do(context.Background(), write("first"))
		}
		forwarded := 0
		w.OnForward = func() { forwarded++ }
		began := time.Now()
		is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeBusy)
		is.True(time.Since(began) < atOnce)
		is.True(forwarded <= 3)
	})
}

// A host that was down and is back must be used again soon, and no caller's request may
// have to find out: every three seconds one waited 250 ms for a host that was still down.
func TestHostThatIsBackIsUsedAgain(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(is *is.I, w *clustertest.World) {
		w.ForwardToHosts(2, 1, 0, 1)
		s := w.Open(t, 2, clustertest.PrimaryDB)
		do(t, s, write("before"))
		w.VMs[0].Unreachable.Store(true)
		do(t, s, write("first")) // finds out, unless the connection's state was seen first
		for i := range 200 {
			began := time.Now()
			do(t, s, write(fmt.Sprint("w", i)))
			is.True(time.Since(began) < 100*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		w.VMs[0].Unreachable.Store(false)
		time.Sleep(time.Second)
		w.VMs[1].Unreachable.Store(true)
		began := time.Now()
		do(t, s, write("after"))
		is.True(time.Since(began) < 100*time.Millisecond)
	})
}
