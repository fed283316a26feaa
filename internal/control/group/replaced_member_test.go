package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// TestReplacedMemberKeepsWrites replaces a replica in the configuration by an empty one, while
// the replica that stays lags behind, and then the primary fails. The confirmed writes are at
// the primary and the replaced replica only, which is still up.
func TestReplacedMemberKeepsWrites(t *testing.T) {
	testFleet(t, []chervilladder.UpstreamID{"a", "b", "c", "d"}, func(f *fleet) {
		lag := func(lags bool) func(*fakeState) { return func(s *fakeState) { s.lags = lags } }
		f.group.change("d", lag(true))
		board := f.add("vm", f.group.dial())
		f.configure(board, "a", "b", "c")
		f.awaitOpen(board)
		time.Sleep(settled)
		f.group.change("b", lag(true))
		time.Sleep(300 * time.Millisecond)
		f.configure(board, "a", "b", "d")
		time.Sleep(50 * time.Millisecond)
		f.group.change("a", func(s *fakeState) { s.down = true })
		time.Sleep(2 * settled)
		is.New(t).True(len(f.acked) > 0)
	})
}
