package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// learnedWithin bounds how long all VMs of a fleet take to learn of a change while the
// store is available.
const learnedWithin = 4 * time.Second

// follows reports how many VMs follow others.
func (f *fleet) followers() int {
	n := 0
	for _, v := range f.vms {
		if v.board.StoreAccess.Load().FromPeers {
			n++
		}
	}
	return n
}

// After the store has come back from a copy, its revisions are below those of before. The
// VMs that follow others must go on learning of the upstreams and of configurations
// (regression: review/10).
func TestFollowersLearnOfChangesAfterTheStoreHasComeBackFromACopy(t *testing.T) {
	testWithVMs(t, 30, func(is *is.I, s *store, f *fleet) {
		for range 20 { // before the copy is older than the present by this
			s.register("a", "b")
		}
		s.drill(0, "a", "b") // the first era that the store tells
		time.Sleep(learnedWithin)
		for range 2 { // the drill twice
			for range 8 {
				s.register("a", "b")
			}
			time.Sleep(learnedWithin)
			s.drill(9, "a", "b")
			time.Sleep(learnedWithin)
			is.Equal(f.followers(), 24)
			s.register("a", "b", "c")
			s.route("later")
			time.Sleep(learnedWithin)
			for _, v := range f.vms {
				is.True(v.knows("later", "a", "b", "c"))
			}
		}
	})
}

// During an upgrade VMs of an earlier build tell no eras, and are told none.
func TestVMsThatTellNoErasAreFollowedOn(t *testing.T) {
	testWithVMs(t, 30, func(is *is.I, s *store, f *fleet) {
		s.drill(0, "a", "b")
		time.Sleep(learnedWithin)
		f.eraless.Store(true)
		time.Sleep(learnedWithin)
		s.register("a", "b", "c")
		s.route("later")
		time.Sleep(learnedWithin)
		is.Equal(f.followers(), 24)
		for _, v := range f.vms {
			is.True(v.knows("later", "a", "b", "c"))
		}
	})
}

// The copy from which the store has come back lacks a VM that has joined since. Peers must
// know it again soon: they forward work to it and borrow from it.
func TestVMThatACopyOfTheStoreLacksIsListedAgainSoon(t *testing.T) {
	testWithVMs(t, 3, func(is *is.I, s *store, f *fleet) {
		s.drill(0, "a", "b") // the first era that the store tells
		time.Sleep(20 * time.Second)
		s.forget("c")
		s.drill(1, "a", "b")
		time.Sleep(learnedWithin)
		is.Equal(s.listed(), 3)
	})
}
