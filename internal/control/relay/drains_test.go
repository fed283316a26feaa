package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// VMs that start while a primary drains learn from the others since when, also if they ask
// each other first (regression: review/9).
func TestVMsThatStartLearnFromPeersSinceWhenAPrimaryDrains(t *testing.T) {
	testWithVMs(t, 3, func(is *is.I, s *store, f *fleet) {
		s.drain("a")
		time.Sleep(2500 * time.Millisecond)
		known := f.vms["a"].board.Upstreams.Load().ByID["a"]
		is.True(known.Draining && !known.DrainAssumed)
		time.Sleep(time.Second)
		started := []*vm{f.start("d"), f.start("e"), f.start("f")}
		time.Sleep(1500 * time.Millisecond)
		for _, v := range started {
			e := v.board.Upstreams.Load().ByID["a"]
			is.True(!e.DrainAssumed)
			is.True(e.DrainingSince.Sub(known.DrainingSince).Abs() < 100*time.Millisecond)
		}
		time.Sleep(time.Second)
		before := f.bytes.Load()
		time.Sleep(10 * time.Second)
		is.Equal(f.bytes.Load(), before) // nobody is asked any more
	})
}
