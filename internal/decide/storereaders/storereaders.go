// Package storereaders decides which VMs read the platform's store. In a small system
// all VMs do. In a large one a few VMs do, the readers, and the others follow them.
package storereaders

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// manyVMs is the number of VMs from which only the readers read the store.
	manyVMs = 20
	// minReaders is the least number of readers. Beyond it there is one reader
	// for every followersEach VMs.
	minReaders    = 6
	followersEach = 16
)

// Readers returns the VMs that read the store, spread over the data centres. The list
// is empty if all VMs read it.
func Readers(vms []chervilladder.VM) []chervilladder.VM {
	if len(vms) < manyVMs {
		return nil
	}
	n := max(minReaders, (len(vms)+followersEach-1)/followersEach)
	return rendezvous.Spread("readers", vms, n)
}

// Sources returns the readers in the order in which a VM follows them: one of its own
// data centre first, then one of another, and so on. The order differs from VM to VM,
// which spreads the followers over the readers.
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

// With these times a follower gets a new configuration within the bound,
// Bounds.ConfigInForce, even if the reader that it follows has lost the store and its
// watch returns nothing. The least bound that they allow for is about 1.4 s: below
// 1.8 s the wait stays at minWait, at which a follower reads the store itself after
// 0.9 s (Stale), and 0.5 s are left for the read.
const (
	// maxWait and minWait bound how long a reader's watch waits.
	maxWait = 2 * time.Second
	minWait = 300 * time.Millisecond
	// detectAndRead is the time for a follower to detect the failure and to read
	// the store, beyond twice the reader's wait.
	detectAndRead = 1200 * time.Millisecond
	// heartbeatMargin is how much older than a reader's wait its last heartbeat may
	// be.
	heartbeatMargin = 600 * time.Millisecond
)

// Wait returns how long a reader's watch waits for a change, so that a configuration is
// in force at the reader's followers within the given time; zero means no limit.
func Wait(inForce time.Duration) time.Duration {
	if inForce <= 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, (inForce-detectAndRead)/2))
}

// Stale returns the age of the readers' last update or heartbeat from which a follower
// reads the store itself.
func Stale(inForce time.Duration) time.Duration { return Wait(inForce) + heartbeatMargin }
