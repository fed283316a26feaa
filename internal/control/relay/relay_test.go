package relay_test

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// updatedWithin bounds how long a VM that the store rejects takes to receive
// changes.
const updatedWithin = 8 * time.Second

// A VM that the store rejects must receive routes and upstreams from its peers, and
// must never go back to older ones.
func TestRejectedVMIsUpdatedByPeers(t *testing.T) {
	testWithVMs(t, 3, func(is *is.I, s *store, f *fleet) {
		rejected := f.vms["b"]
		is.True(rejected.knows("first", "a", "b"))
		rejected.link.setRejects(true)
		time.Sleep(5 * time.Second)
		s.route("second")
		s.register("b", "c")
		time.Sleep(updatedWithin)
		is.True(rejected.knows("second", "b", "c"))

		// The store rejects all VMs, and a newly started peer sends older data (1)
		// under a higher revision (99), without which it would send nothing.
		for _, v := range f.vms {
			v.link.setRejects(true)
		}
		time.Sleep(10 * time.Second)
		f.vms["a"].board.Published.Store(blackboard.Published{StoreRevision: chervilladder.StoreRevision{Revision: 99}, Encoded: compressed(is, `{"Revision":1}`)})
		time.Sleep(10 * time.Second)
		is.True(rejected.knows("second", "b", "c"))

		rejected.link.setRejects(false)
		s.register("c")
		time.Sleep(updatedWithin)
		is.True(rejected.knows("second", "c"))
	})
}

// While the store is available no VM may follow a peer; when the store rejects all
// VMs and they have the same data, only heartbeats may be sent.
func TestPeersAreFollowedOnlyWhileTheStoreIsUnavailable(t *testing.T) {
	testWithVMs(t, 12, func(is *is.I, _ *store, f *fleet) {
		is.Equal(f.follows.Load(), int64(0))
		for _, v := range f.vms {
			is.Equal(len(v.board.Peers.Load()), 11)
			v.link.setRejects(true)
		}
		time.Sleep(30 * time.Second)
		is.True(f.follows.Load() > 0)
		is.Equal(f.bytes.Load(), int64(0))
	})
}

// When one reader loses the store and continues to send heartbeats, its followers
// must receive changes from another reader without reading the store themselves.
func TestFollowersOfAReaderThatLostTheStoreUseAnother(t *testing.T) {
	testWithVMs(t, 30, func(is *is.I, s *store, f *fleet) {
		for _, v := range f.vms {
			v.board.Bounds.Store(chervilladder.Bounds{ConfigInForce: 5 * time.Second})
		}
		time.Sleep(3 * time.Second)
		for _, v := range f.vms {
			if !v.board.StoreAccess.Load().FromPeers {
				v.link.setRejects(true)
				break
			}
		}
		s.route("second")
		time.Sleep(1200 * time.Millisecond)
		followers := 0
		for _, v := range f.vms {
			is.True(v.link.rejects || v.knows("second", "a", "b"))
			if v.board.StoreAccess.Load().FromPeers {
				followers++
			}
		}
		is.Equal(followers, 24) // 30 VMs without 6 readers
	})
}

// listed returns the number of VMs in the store's list.
func (s *store) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.vms)
}

// The entry of a VM that is unreachable for longer than removeAfter must be removed,
// and must be back within 40 s after the VM has recovered.
func TestEntryOfUnreachableVMIsRemoved(t *testing.T) {
	testWithVMs(t, 6, func(is *is.I, s *store, f *fleet) {
		down := f.vms["c"]
		down.isolated.Store(true)
		down.link.setRejects(true)
		time.Sleep(30 * time.Second)
		is.Equal(s.listed(), 6) // it may be restarting
		time.Sleep(60 * time.Second)
		is.Equal(s.listed(), 5)
		is.Equal(len(f.vms["a"].board.Peers.Load()), 4)
		down.isolated.Store(false)
		down.link.setRejects(false)
		time.Sleep(40 * time.Second)
		is.Equal(s.listed(), 6)
		is.Equal(len(f.vms["a"].board.Peers.Load()), 5)
	})
}

// A VM that reaches the store but no peer must remove no entry, even if that is so
// for all VMs.
func TestIsolatedVMRemovesNoEntry(t *testing.T) {
	testWithVMs(t, 6, func(is *is.I, s *store, f *fleet) {
		f.partitioned.Store(true)
		time.Sleep(5 * time.Minute)
		is.Equal(s.listed(), 6)
	})
}

// compressed returns a text in the wire format between VMs.
func compressed(is *is.I, text string) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write([]byte(text))
	is.NoErr(err)
	is.NoErr(w.Close())
	return b.Bytes()
}

// Of many VMs only a few must read the store, and the others must receive changes
// from them in time. If those are unreachable, the others must read the store
// themselves.
func TestFewReadTheStoreForMany(t *testing.T) {
	testWithVMs(t, 60, func(is *is.I, s *store, f *fleet) {
		reading := func() (n int) {
			for _, v := range f.vms {
				if !v.board.StoreAccess.Load().FromPeers {
					n++
				}
			}
			return n
		}
		knownWithin := func(d time.Duration, db chervilladder.DatabaseID, ids ...chervilladder.UpstreamID) {
			time.Sleep(d)
			for _, v := range f.vms {
				is.True(v.knows(db, ids...))
			}
		}
		is.Equal(reading(), 6)
		calls, bytes := s.calls.Load(), f.bytes.Load()
		time.Sleep(10 * time.Second)
		is.True(s.calls.Load()-calls <= 6*10+60*2) // one call a second by each reader, and reads of the list of VMs
		is.Equal(f.bytes.Load(), bytes)            // there were no changes
		s.route("second")
		s.register("a", "c")
		knownWithin(3*time.Second+2500*time.Millisecond, "second", "a", "c") // the entry of b is kept for missingGrace
		f.partitioned.Store(true)
		time.Sleep(4 * time.Second)
		is.Equal(reading(), 60)
		s.route("third")
		knownWithin(3*time.Second, "third", "a", "c")
		f.partitioned.Store(false)
		time.Sleep(4 * time.Second)
		is.Equal(reading(), 6)
	})
}

// When the readers lose the store, the VMs that still reach it must read it
// themselves in time.
func TestFollowersReadWhenTheirReadersLoseTheStore(t *testing.T) {
	testWithVMs(t, 30, func(is *is.I, s *store, f *fleet) {
		for _, v := range f.vms {
			v.board.Bounds.Store(chervilladder.Bounds{ConfigInForce: 3 * time.Second})
		}
		time.Sleep(5 * time.Second)
		for _, v := range f.vms {
			v.link.setRejects(!v.board.StoreAccess.Load().FromPeers)
		}
		s.route("second")
		time.Sleep(3 * time.Second)
		for _, v := range f.vms {
			if !v.link.rejects {
				is.True(v.knows("second", "a", "b"))
			}
		}
		time.Sleep(5 * time.Second)
		for _, v := range f.vms {
			is.True(v.knows("second", "a", "b")) // the rejected VMs receive it from the others
		}
	})
}

// A malformed update must change nothing.
func TestMalformedUpdateIsIgnored(t *testing.T) {
	for _, text := range []string{"", "{", "null", `{"Revision":0}`, `{"Routes":"x"}`, "\x00\xff"} {
		testWithVMs(t, 2, func(is *is.I, _ *store, f *fleet) {
			f.vms["b"].link.setRejects(true)
			for _, encoded := range [][]byte{[]byte(text), compressed(is, text)} {
				f.vms["a"].board.Published.Store(blackboard.Published{StoreRevision: chervilladder.StoreRevision{Revision: 99}, Encoded: encoded})
				time.Sleep(10 * time.Second)
				is.True(f.vms["b"].knows("first", "a", "b"))
			}
		})
	}
}
