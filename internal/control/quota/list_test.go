package quota_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

func (v *vm) reachesStore() bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return !v.storeCut && !v.w.storeDown
}

// followList reads the list of VMs as control/relay does.
func (v *vm) followList(ctx context.Context, b *blackboard.Board) {
	for !v.reachesStore() {
		if !sleep(ctx, time.Second) {
			return
		}
	}
	b.ListedBefore.Store(!v.w.announce(v.self))
	for wait := 500 * time.Millisecond; awaitListRead(ctx, b, wait/2+rand.N(wait)); wait = min(2*wait, 10*time.Second) {
		v.awaitThaw()
		if !v.reachesStore() {
			continue
		}
		at := time.Now()
		v.w.mu.Lock()
		listed := slices.Clone(v.w.listed)
		v.w.mu.Unlock()
		members := make(map[chervilladder.VMID]blackboard.Member)
		for _, other := range listed {
			members[other.ID] = blackboard.Member{VM: other}
		}
		if _, ok := members[v.self.ID]; ok {
			b.ListedAt.Raise(at)
		} else {
			v.w.announce(v.self)
		}
		delete(members, v.self.ID)
		if known := b.Members.Load().Members; known == nil || !maps.Equal(known, members) {
			b.Members.Store(blackboard.Membership{Members: members})
		}
	}
}

// awaitListRead waits for a duration, or until the list is asked for.
func awaitListRead(ctx context.Context, b *blackboard.Board, d time.Duration) bool {
	asked, first := b.ListTrigger.Watch(), min(d, 500*time.Millisecond)
	if !sleep(ctx, first) {
		return false
	}
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-asked:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// followStore keeps the board's evidence of the store, its own or a peer's.
func (v *vm) followStore(ctx context.Context, b *blackboard.Board) {
	for sleep(ctx, 300*time.Millisecond) {
		v.awaitThaw()
		v.w.mu.Lock()
		vms := slices.Clone(v.w.vms)
		v.w.mu.Unlock()
		for _, other := range vms {
			if other == v || other.current() != nil && !other.frozen() && v.reaches(other) {
				if other.reachesStore() {
					b.PeerConfirmedAt.Raise(time.Now().Add(-300 * time.Millisecond))
				}
			}
		}
	}
}

// announce adds a VM to the list, and reports whether it wasn't in it.
func (w *world) announce(vm chervilladder.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.listed, vm) {
		return false
	}
	w.listed = append(w.listed, vm)
	return true
}

// removeGone removes the entries of VMs that most others can't reach.
func (w *world) removeGone() {
	for sleep(w.ctx, time.Second) {
		w.mu.Lock()
		vms, down := slices.Clone(w.vms), w.storeDown
		w.mu.Unlock()
		for _, v := range vms {
			reached := 0
			for _, other := range vms {
				if v != other && v.current() != nil && !v.frozen() && other.current() != nil && !other.frozen() && v.reaches(other) {
					reached++
				}
			}
			if 2*reached+1 >= len(vms)/2 || v.unreachable.IsZero() {
				v.unreachable = time.Now()
			}
			if time.Since(v.unreachable) >= goneAfter && !down {
				w.mu.Lock()
				w.listed = slices.DeleteFunc(w.listed, func(l chervilladder.VM) bool { return l.ID == v.self.ID })
				w.mu.Unlock()
			}
		}
	}
}
