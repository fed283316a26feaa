package drain

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// ShutdownDelayConfig configures a ShutdownDelay.
type ShutdownDelayConfig struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Linger is how long the VM continues to answer peers that may not know yet
	// that it drains.
	Linger time.Duration
	// Timeout bounds the wait for work in flight.
	Timeout time.Duration
}

// ShutdownDelay delays the shutdown of the parts that stop after it, so that the
// databases of a draining VM can be handed over: first for Linger, and then until no
// work is in flight on them.
type ShutdownDelay struct {
	ShutdownDelayConfig
}

// NewShutdownDelay returns a delay. Linger may be zero; Timeout must be set.
func NewShutdownDelay(c ShutdownDelayConfig) (*ShutdownDelay, error) {
	if c.Board == nil || c.Log == nil || c.Timeout <= 0 {
		return nil, errors.New("drain: board, log and timeout are required")
	}
	return &ShutdownDelay{ShutdownDelayConfig: c}, nil
}

// Run waits for the end of its context, then for Linger, and then until the work in
// flight on the databases of this VM has ended, but no longer than Timeout in all.
func (d *ShutdownDelay) Run(ctx context.Context) error {
	<-ctx.Done()
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.Timeout)
	defer cancel()
	linger := time.NewTimer(min(d.Linger, d.Timeout))
	defer linger.Stop()
	<-linger.C
	for id, db := range d.Board.Databases.All() {
		if db.InFlight.AwaitNone(waitCtx) != nil {
			d.Log.WithField("database", id).Warn("drain: timed out waiting for work in flight, which will be interrupted")
		}
	}
	return nil
}
