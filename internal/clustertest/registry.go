package clustertest

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// listTime is how long a read of the registered upstreams takes.
const listTime = 5 * time.Millisecond

// SetMembers replaces the registered upstreams, at the store and as the VM knows them.
func (vm *VM) SetMembers(members ...chervilladder.Registered) {
	vm.SetListed(members...)
	vm.know(members, time.Time{})
}

// SetListed replaces the registered upstreams at the store. The VM doesn't learn of it
// before it reads the list anew, as if its watch reported no changes any more.
func (vm *VM) SetListed(members ...chervilladder.Registered) { vm.listed.Store(members) }

// know replaces the upstreams that the VM knows, by a read that it has requested, if any.
func (vm *VM) know(members []chervilladder.Registered, requestedAt time.Time) {
	vm.Board.Upstreams.Update(func(old blackboard.Upstreams) blackboard.Upstreams {
		u := blackboard.Upstreams{ByID: make(map[chervilladder.UpstreamID]blackboard.KnownUpstream), Known: true, ReadAt: old.ReadAt}
		if requestedAt.After(u.ReadAt) {
			u.ReadAt = requestedAt
		}
		for _, m := range members {
			e := blackboard.KnownUpstream{Registered: m}
			if m.Draining {
				e.DrainingSince = time.Now()
			}
			if before, known := old.ByID[m.ID]; known && before.Draining && m.Draining {
				e.DrainingSince = before.DrainingSince
			}
			u.ByID[m.ID] = e
		}
		return u
	})
}

// readOnRequest takes the place of package registry: it reads the list when another
// controller asks for it.
func (vm *VM) readOnRequest(ctx context.Context) error {
	asked := vm.Board.UpstreamsTrigger.Watch()
	for {
		select {
		case <-asked:
		case <-ctx.Done():
			return nil
		}
		asked = vm.Board.UpstreamsTrigger.Watch()
		requestedAt := vm.clock()
		members := vm.listed.Load()
		time.Sleep(listTime)
		if vm.process.runs(ctx) {
			vm.know(members, requestedAt)
		}
	}
}
