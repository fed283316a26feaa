package clustertest

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
)

// process is what happens to a VM's process: it may be frozen for a time, or killed.
type process struct {
	mu sync.Mutex
	// thawAt is when the process runs again.
	thawAt time.Time
	killed bool
}

// Freeze stops the VM for a time. Whatever it sends, and whatever it does with an answer,
// waits for the end, and so does a call that had begun: a freeze between a check and the
// call that the check allows is one of the cases. The VM's clock shows the end at once, as
// a check in that time would be made at the end.
func (vm *VM) Freeze(d time.Duration) {
	vm.process.mu.Lock()
	defer vm.process.mu.Unlock()
	if thaw := time.Now().Add(d); thaw.After(vm.process.thawAt) {
		vm.process.thawAt = thaw
	}
}

// Kill ends the VM without any farewell: what it sends from now on is lost.
func (vm *VM) Kill() {
	vm.process.mu.Lock()
	vm.process.killed = true
	vm.process.mu.Unlock()
	vm.Stop()
}

// StartAnew kills a VM if it runs, and starts one of its name, which has no state but the
// given registered members.
func (w *World) StartAnew(t *testing.T, i int, members ...chervilladder.Registered) {
	t.Helper()
	w.VM(i).Kill()
	vm := w.start(t, i, members)
	w.mu.Lock()
	w.VMs[i] = vm
	w.mu.Unlock()
	w.listPeers(vm)
}

// VM returns the VM that runs under the i-th name now.
func (w *World) VM(i int) *VM { return w.running()[i] }

// running returns the VMs, which StartAnew may replace meanwhile.
func (w *World) running() []*VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*VM(nil), w.VMs...)
}

// frozenFor returns for how much longer the process is frozen.
func (p *process) frozenFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.thawAt))
}

// runs waits while the process is frozen, and reports whether it then runs and the context
// has not ended.
func (p *process) runs(ctx context.Context) bool {
	for d := p.frozenFor(); d > 0; d = p.frozenFor() {
		time.Sleep(d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed && ctx.Err() == nil
}

// runsBefore is like runs, with a deadline; zero is none.
func (p *process) runsBefore(deadline time.Time) bool {
	return p.runs(context.Background()) && (deadline.IsZero() || !time.Now().After(deadline))
}
