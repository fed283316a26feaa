package drain

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// HandoverConfig configures a Handover.
type HandoverConfig struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Linger is how long the VM continues to answer peers that may not know yet
	// that it drains.
	Linger time.Duration
	// Timeout bounds the wait for work in flight.
	Timeout time.Duration
}

// Handover delays the shutdown of the parts that stop after it, so that the databases of
// a draining VM can be handed over: first for Linger, and then until no work is in flight
// on them.
type Handover struct {
	HandoverConfig
}

// NewHandover returns a handover. Linger may be zero; Timeout must be set.
func NewHandover(c HandoverConfig) (*Handover, error) {
	if c.Board == nil || c.Log == nil || c.Timeout <= 0 {
		return nil, errors.New("drain: board, log and timeout are required")
	}
	return &Handover{HandoverConfig: c}, nil
}

// Run waits for the end of its context, then for Linger, and then until the work in
// flight on the databases of this VM has ended, but no longer than Timeout in all.
func (h *Handover) Run(ctx context.Context) error {
	<-ctx.Done()
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Timeout)
	defer cancel()
	linger := time.NewTimer(min(h.Linger, h.Timeout))
	defer linger.Stop()
	<-linger.C
	for id, db := range h.Board.Databases.All() {
		if db.InFlight.AwaitNone(waitCtx) != nil {
			h.Log.WithField("database", id).Warn("drain: timed out waiting for work in flight, which will be interrupted")
		}
	}
	return nil
}
