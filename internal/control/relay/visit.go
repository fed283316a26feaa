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
)

// The pace at which VMs look after each other's entries.
const (
	// visitEvery is the mean time between two visits of a VM.
	visitEvery = 10 * time.Second
	// visitTimeout bounds a visit.
	visitTimeout = 2 * time.Second
	// goneAfter is how long no visit must have reached a VM until its entry is
	// removed. A VM that is back sees that and enters itself again.
	goneAfter = 45 * time.Second
	// visitors is how many VMs visit each.
	visitors = 2
)

// visit looks after the entries of a few VMs: nothing in the store expires by
// itself, and a VM that is gone for good can't take its entry back.
func (k *Controller) visit(ctx context.Context) {
	reached := make(map[chervilladder.VMID]time.Time)
	for pause(ctx, retry.Spread(visitEvery)) {
		peers := k.c.Board.Peers.Load()
		charges := k.charges(peers)
		now := k.c.Clock()
		known := make(map[chervilladder.VMID]time.Time, len(charges))
		for _, vm := range charges {
			known[vm.ID] = now // since when it is visited at least
			if at, ok := reached[vm.ID]; ok {
				known[vm.ID] = at
			}
		}
		reached = known
		var mu sync.Mutex
		var visits sync.WaitGroup
		for _, vm := range charges {
			visits.Go(func() {
				if k.reaches(ctx, vm) {
					mu.Lock()
					defer mu.Unlock()
					reached[vm.ID] = k.c.Clock()
				}
			})
		}
		visits.Wait()
		for _, vm := range charges {
			if k.c.Clock().Sub(reached[vm.ID]) >= goneAfter && k.inTouch(ctx, peers, vm.ID) {
				k.remove(ctx, vm)
			}
		}
	}
}

// charges returns the VMs that this one looks after.
func (k *Controller) charges(peers []chervilladder.VM) []chervilladder.VM {
	self := k.c.Board.Self.ID
	ids := []chervilladder.VMID{self}
	for _, vm := range peers {
		ids = append(ids, vm.ID)
	}
	var list []chervilladder.VM
	for _, vm := range peers {
		// One more than the visitors, since the VM may be one of them itself.
		if rendezvous.Chosen(rendezvous.Task("visit/"+vm.ID), self, ids, visitors+1) {
			list = append(list, vm)
		}
	}
	return list
}

// reaches reports whether a VM tells anything.
func (k *Controller) reaches(ctx context.Context, vm chervilladder.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, visitTimeout)
	defer cancel()
	told := false
	_ = k.c.Feeds.Follow(ctx, vm.Peer, chervilladder.Following{BeatsOnly: true}, func(chervilladder.News) { // ends by its context
		told = true
		cancel()
	})
	return told
}

// inTouch reports whether this VM reaches the store and some VM beside the one given;
// if it doesn't, what it can't reach may well be there.
func (k *Controller) inTouch(ctx context.Context, peers []chervilladder.VM, beside chervilladder.VMID) bool {
	if k.c.Clock().Sub(k.c.Board.KnownAsOf()) >= awayAfter {
		return false
	}
	start := rand.IntN(len(peers))
	for i := range min(len(peers), maxPeers) {
		vm := peers[(start+i)%len(peers)]
		if vm.ID != beside && k.reaches(ctx, vm) {
			return true
		}
	}
	return false
}

// remove takes the entry of a VM that is gone out of the list.
func (k *Controller) remove(ctx context.Context, vm chervilladder.VM) {
	log := k.c.Log.WithFields(logrus.Fields{"gone": vm.ID, "unreached": goneAfter.String()})
	if err := k.c.Directory.Remove(ctx, vm.ID); err != nil {
		log.WithError(err).Info("relay: entry of a VM that is gone not removed")
		return
	}
	log.Info("relay: entry of a VM that is gone removed")
}
