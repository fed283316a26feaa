package group

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// TestPromotionCarriedOutLate has the first promotion take effect seconds after it was sent,
// when its VM has given up on it and another term has begun, maybe with another primary.
func TestPromotionCarriedOutLate(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		for _, lagging := range []chervilladder.UpstreamID{"", "b", "c"} {
			t.Run(fmt.Sprint(late, lagging), func(t *testing.T) {
				testFleet(t, three, func(f *fleet) {
					board := f.add("vm-1", f.group.dial())
					f.add("vm-2", f.group.dial())
					f.awaitOpen(board)
					time.Sleep(settled)
					var sent atomic.Bool
					f.group.setDelay(func(call string, _ chervilladder.UpstreamID) time.Duration {
						if call == "promote" && !sent.Swap(true) {
							return late
						}
						return 0
					})
					if lagging != "" {
						f.group.change(lagging, func(s *fakeState) { s.lags = true })
					}
					time.Sleep(time.Second)
					f.group.change("a", func(s *fakeState) { s.down = true })
					time.Sleep(settled)
					f.group.change("a", func(s *fakeState) { s.down = false })
					if lagging != "" {
						f.group.change(lagging, func(s *fakeState) { s.lags = false })
					}
					time.Sleep(longRun)
					is.New(t).True(sent.Load())
				})
			})
		}
	}
}
