package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Intervals and limits of the health checks of other VMs.
const (
	// healthCheckEvery is the mean time between two health checks of a VM.
	healthCheckEvery = 10 * time.Second
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = 2 * time.Second
	// removeAfter is how long the health checks of a VM must have failed
	// before its entry is removed. A VM that recovers finds its entry missing
	// and announces itself again.
	removeAfter = 45 * time.Second
	// checkersPerVM is how many VMs check each VM.
	checkersPerVM = 2
)

// checkPeers checks a few VMs and removes the entries of those that have failed:
// entries in the store don't expire, and a VM that has failed for good can't remove
// its own.
func (k *Controller) checkPeers(ctx context.Context) {
	reached := make(map[chervilladder.VMID]time.Time)
	for pause(ctx, retry.Jitter(healthCheckEvery)) {
		peers := k.c.Board.Peers.Load()
		assigned := k.assignedPeers(peers)
		now := k.c.Clock()
		next := make(map[chervilladder.VMID]time.Time, len(assigned))
		for _, vm := range assigned {
			next[vm.ID] = now // a newly assigned VM counts as reached now
			if at, ok := reached[vm.ID]; ok {
				next[vm.ID] = at
			}
		}
		reached = next
		var mu sync.Mutex
		var checks sync.WaitGroup
		for _, vm := range assigned {
			checks.Go(func() {
				responded := true // a panic says nothing about the VM
				_ = recovery.Call(k.c.Log, part, func() { responded = k.responds(ctx, vm) })
				if responded {
					mu.Lock()
					defer mu.Unlock()
					reached[vm.ID] = k.c.Clock()
				}
			})
		}
		checks.Wait()
		for _, vm := range assigned {
			if k.c.Clock().Sub(reached[vm.ID]) >= removeAfter && k.connected(ctx, peers, vm.ID) {
				k.remove(ctx, vm)
			}
		}
	}
}

// assignedPeers returns the peers that this VM checks.
func (k *Controller) assignedPeers(peers []chervilladder.VM) []chervilladder.VM {
	self := k.c.Board.Self.ID
	ids := []chervilladder.VMID{self}
	for _, vm := range peers {
		ids = append(ids, vm.ID)
	}
	var list []chervilladder.VM
	for _, vm := range peers {
		// One more than checkersPerVM, since the VM may itself be among those chosen.
		if rendezvous.Chosen(rendezvous.Task("visit/"+vm.ID), self, ids, checkersPerVM+1) {
			list = append(list, vm)
		}
	}
	return list
}

// responds reports whether a VM sends a heartbeat within healthCheckTimeout.
func (k *Controller) responds(ctx context.Context, vm chervilladder.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	responded := false
	_ = k.c.Feeds.Follow(ctx, vm.Peer, chervilladder.Following{HeartbeatsOnly: true}, func(chervilladder.StoreUpdate) { // it ends with the context
		responded = true
		cancel()
	})
	return responded
}

// connected reports whether this VM reaches the store and at least one VM other than
// the given one. If it doesn't, the fault may be its own, and a VM that it can't
// reach may be up.
func (k *Controller) connected(ctx context.Context, peers []chervilladder.VM, except chervilladder.VMID) bool {
	if k.c.Clock().Sub(k.c.Board.KnownAsOf()) >= unavailableAfter {
		return false
	}
	start := rand.IntN(len(peers))
	for i := range min(len(peers), maxPeers) {
		vm := peers[(start+i)%len(peers)]
		if vm.ID != except && k.responds(ctx, vm) {
			return true
		}
	}
	return false
}

// remove removes the entry of a VM that has failed from the list.
func (k *Controller) remove(ctx context.Context, vm chervilladder.VM) {
	log := k.c.Log.WithFields(logrus.Fields{"gone": vm.ID, "unreached": removeAfter.String()})
	if err := k.c.Directory.Remove(ctx, vm.ID); err != nil {
		log.WithError(err).Info("relay: could not remove the entry of an unreachable VM")
		return
	}
	log.Info("relay: entry of an unreachable VM removed")
}
