package session_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// A write that ran must not run again because the second answers to a refusal and to a SET
// come in its place and in that of the reset behind it.
func TestRepeatedSetupDoesNotConfirmARepeatedRefusal(t *testing.T) {
	for path, enter := range paths {
		t.Run(path, func(t *testing.T) {
			for delay := time.Millisecond; delay < 80*time.Millisecond; delay += 2 * time.Millisecond {
				enter(t, func(t *testing.T, w *clustertest.World, s chervilladder.Session) {
					var a answered
					do(t, s, chervilladder.Command{Kind: chervilladder.CommandSet, ID: "s", Name: "lang", Rest: "es"})
					var refused atomic.Bool
					setFaults(w, func(f *cluster.Faults) {
						f.Refuse = func(c chervilladder.Command) chervilladder.Code {
							if c.Kind != chervilladder.CommandWrite || refused.Swap(true) {
								return chervilladder.CodeNone
							}
							return chervilladder.CodeBusy
						}
						f.Repeat = func(c chervilladder.Command, got chervilladder.Code) (time.Duration, bool) {
							if c.Kind == chervilladder.CommandSet {
								return delay + time.Millisecond, true
							}
							return delay, got == chervilladder.CodeBusy
						}
					})
					for i := range 3 {
						a.statement(s, write(fmt.Sprintf("w%d", i)))
					}
					a.check(t, w)
				})
			}
		})
	}
}
