// Package reading decides which VMs read the platform's store. While there are few
// all do; else a few, and the others follow these.
package reading

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// manyVMs is from how many VMs on a few read the store for all.
	manyVMs = 20
	// minReaders is how many do at least, followersEach how many VMs there
	// are for each of them beyond that.
	minReaders    = 6
	followersEach = 16
)

// Readers returns the VMs that read the store, spread over the data centres. It is
// empty if each reads for itself.
func Readers(vms []chervilladder.VM) []chervilladder.VM {
	if len(vms) < manyVMs {
		return nil
	}
	n := max(minReaders, (len(vms)+followersEach-1)/followersEach)
	return rendezvous.Spread("readers", vms, n)
}

// Sources returns the readers in the order in which a VM follows them: one of its own
// data centre first, then one of another, and so on, others for each VM.
func Sources(self chervilladder.VM, readers []chervilladder.VM) []chervilladder.VM {
	ranked := rendezvous.Spread(rendezvous.Task("follow/"+self.ID), readers, len(readers))
	for i, vm := range ranked {
		if vm.DataCentre == self.DataCentre {
			copy(ranked[1:i+1], ranked[:i])
			ranked[0] = vm
			break
		}
	}
	return ranked
}

// The times by which a follower learns in time though the reader that it follows
// has lost the store, and its watch has fallen silent.
const (
	// maxWait and minWait bound how long a reader's watch waits.
	maxWait = 2 * time.Second
	minWait = 300 * time.Millisecond
	// reserve is what it takes to notice, and to read the store, beyond that
	// wait and as much again.
	reserve = 1200 * time.Millisecond
	// beatMargin is how much older than a reader's wait its word may be.
	beatMargin = 600 * time.Millisecond
)

// Wait returns how long a reader's watch waits for a change, so that a configuration
// is in force in time at its followers.
func Wait(inForce time.Duration) time.Duration {
	if inForce <= 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, (inForce-reserve)/2))
}

// Stale returns how old the word of the readers may be until a follower reads the
// store itself.
func Stale(inForce time.Duration) time.Duration { return Wait(inForce) + beatMargin }
