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

// A panic during a replacement, with replicas paused and before or after the promotion
// order, must end this attempt only: a later one completes it, and no acknowledged
// commit is lost.
func TestReplacementIsCompletedAfterAPanic(t *testing.T) {
	for name, arm := range map[string]func(vm *clustertest.VM, injected *atomic.Bool){
		"while replicas are paused": func(vm *clustertest.VM, injected *atomic.Bool) {
			var pauses atomic.Int64
			vm.Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
				if c.Kind == chervilladder.CommandPause && pauses.Add(1) == 2 {
					injected.Store(true)
					panic("injected")
				}
			})
		},
		"after the order": func(vm *clustertest.VM, injected *atomic.Bool) {
			vm.Promoter.OnOrder(func(chervilladder.UpstreamID) {
				if !injected.Swap(true) {
					panic("injected")
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
				s := w.Open(t, 0, clustertest.PrimaryDB)
				is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
				var injected atomic.Bool
				arm(w.VMs[0], &injected)
				old := clustertest.MemberID(0)
				w.Cluster.Set(old, func(f *cluster.Faults) { f.Down = true })
				awaitPrimary(t, w, old)
				is.True(injected.Load())
				time.Sleep(3 * time.Second)
				is.Equal(write(w, s, "after").Code, chervilladder.CodeNone) // a replica follows and confirms
				checkKept(t, w, []string{"before", "after"})
			})
		})
	}
}
