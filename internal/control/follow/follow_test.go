package follow_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/follow"
)

// callsWithin counts a loop's calls within a time.
func callsWithin(t *testing.T, d time.Duration, step func(context.Context) error) int {
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		board := blackboard.New(chervilladder.VM{ID: "vm"})
		loop := follow.Loop{
			Name: "test", Log: log, RetryAfter: 100 * time.Millisecond, Board: board, Answered: &board.RoutingAnswered,
			Clock: time.Now, ApplyFromPeer: func(blackboard.Knowledge) {},
			Step: func(ctx context.Context) error {
				calls++
				return step(ctx)
			},
		}
		ctx, stop := context.WithTimeout(t.Context(), d)
		defer stop()
		loop.Run(ctx)
	})
	return calls
}

// While the store changes all the time, as when a fleet starts, a VM must read several
// changes by one call: each of 78 VMs made a call for each of 60 upstreams.
func TestCallsDuringManyChangesAreLimited(t *testing.T) {
	is := is.New(t)
	calls := callsWithin(t, 30*time.Second, func(context.Context) error {
		time.Sleep(5 * time.Millisecond)
		return nil
	})
	is.True(calls >= 100 && calls <= 104)
}

// A change that follows a quiet time must be read at once.
func TestCallAfterQuietTimeIsNotDelayed(t *testing.T) {
	is := is.New(t)
	calls := callsWithin(t, 10*time.Second+time.Millisecond, func(context.Context) error {
		time.Sleep(time.Second)
		return nil
	})
	is.Equal(calls, 11)
}

// While the store is unavailable its calls must become rarer: each is charged, and all
// VMs make them.
func TestFailingCallsBackOff(t *testing.T) {
	is := is.New(t)
	calls := callsWithin(t, time.Minute, func(context.Context) error { return errors.New("down") })
	is.True(calls >= 100 && calls <= 150)
}
