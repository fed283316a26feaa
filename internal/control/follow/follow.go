// Package follow keeps a controller in touch with a source that may be away.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// Loop makes calls to a source again and again. A call that fails is followed
// by a pause, and the loss and return of the source are logged.
type Loop struct {
	// Name is the prefix of the log lines.
	Name string
	Log  *logrus.Logger
	// RetryAfter is the mean pause after a call that failed.
	RetryAfter time.Duration
	// Step makes one call and applies what it tells.
	Step func(context.Context) error
	// Board says whether the store is read at all for now, and what peers tell.
	Board *blackboard.Board
	// Answered is raised after each step that succeeded.
	Answered *blackboard.Moment
	// Clock tells the VM's own time.
	Clock func() time.Time
	// Hear takes over what peers tell while the store is away.
	Hear func(blackboard.Knowledge)

	lost bool
}

// Run goes on until the context ends.
func (l *Loop) Run(ctx context.Context) {
	var listening sync.WaitGroup
	listening.Go(func() { l.listen(ctx) })
	defer listening.Wait()
	for l.await(ctx) {
		err := l.Step(ctx)
		if ctx.Err() != nil {
			return
		}
		l.note(err)
		if err == nil {
			l.Answered.Raise(l.Clock())
		}
		if err != nil {
			pause(ctx, retry.Spread(l.RetryAfter))
		}
	}
}

// await waits until the store is to be read, and reports whether the context goes
// on.
func (l *Loop) await(ctx context.Context) bool {
	for ctx.Err() == nil {
		r, changed := l.Board.Reading.Watch()
		if !r.Elsewhere {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// listen hears peers until the context ends.
func (l *Loop) listen(ctx context.Context) {
	for {
		heard, changed := l.Board.Heard.Watch()
		l.Hear(heard)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) note(err error) {
	lost := err != nil
	if lost == l.lost {
		return
	}
	l.lost = lost
	if lost {
		l.Log.WithError(err).Warn(l.Name + ": store lost")
	} else {
		l.Log.Info(l.Name + ": store regained")
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
