// Package follow keeps a controller up to date with the platform's store, or with what
// peers report while the store is unavailable.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// The limits of how often a Loop calls the store, which each VM does.
const (
	// callEvery is the mean time between two calls at most, after the first callBurst:
	// changes that follow each other closely, as when all upstreams register, are
	// read together.
	callEvery = 300 * time.Millisecond
	callBurst = 3
	// maxRetryPause bounds the mean pause after a call that failed.
	maxRetryPause = 500 * time.Millisecond
)

// Loop calls the store repeatedly. A call that fails is followed by a pause, which doubles
// with each failure, and the loss and recovery of the store are logged.
type Loop struct {
	// Name is the prefix of the log lines.
	Name string
	Log  *logrus.Logger
	// RetryAfter is the mean pause after the first call that failed.
	RetryAfter time.Duration
	// Step makes one call and applies its result.
	Step func(context.Context) error
	// Board holds whether this VM reads the store at present, and the updates from
	// peers.
	Board *blackboard.Board
	// Answered is raised to the current time after each step that succeeded.
	Answered *blackboard.LatestTime
	// Clock returns the VM's own time.
	Clock func() time.Time
	// ApplyFromPeer applies updates from peers while the store is unavailable.
	ApplyFromPeer func(blackboard.Knowledge)

	lost bool
}

// Run repeats Step until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var updates sync.WaitGroup
	recovery.Go(ctx, &updates, l.Log, recovery.Part(l.Name), l.applyUpdates)
	defer updates.Wait()
	defer stop()
	limiter := rate.NewLimiter(rate.Every(callEvery), callBurst)
	failures := 0
	for l.await(ctx) && limiter.Wait(ctx) == nil {
		err := l.Step(ctx)
		if ctx.Err() != nil {
			return
		}
		l.logState(err)
		if err == nil {
			l.Answered.Raise(l.Clock())
			failures = 0
			continue
		}
		sleep(ctx, retry.Jitter(l.retryPause(failures)))
		failures++
	}
}

// retryPause returns the mean pause after a call that failed, after so many before it.
func (l *Loop) retryPause(failures int) time.Duration {
	if failures >= 4 {
		return maxRetryPause
	}
	return min(maxRetryPause, l.RetryAfter<<failures)
}

// await waits until this VM is to read the store, and returns false if the context ends.
func (l *Loop) await(ctx context.Context) bool {
	for ctx.Err() == nil {
		access, changed := l.Board.StoreAccess.Watch()
		if !access.FromPeers {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// applyUpdates applies updates from peers until the context ends.
func (l *Loop) applyUpdates(ctx context.Context) {
	for {
		update, changed := l.Board.PeerKnowledge.Watch()
		l.ApplyFromPeer(update)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) logState(err error) {
	lost := err != nil
	if lost == l.lost {
		return
	}
	l.lost = lost
	if lost {
		l.Log.WithError(err).Warn(l.Name + ": store unavailable")
	} else {
		l.Log.Info(l.Name + ": store available again")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
