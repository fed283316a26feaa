package drain

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// HandoverConfig says what a Handover waits for.
type HandoverConfig struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Linger is how long the VM goes on to answer peers that may not have
	// heard yet that it drains.
	Linger time.Duration
	// Timeout bounds the wait for work in flight.
	Timeout time.Duration
}

// Handover keeps the parts that stop after it running until the databases of a
// VM that drains are handed over.
type Handover struct {
	HandoverConfig
}

// NewHandover returns a handover.
func NewHandover(c HandoverConfig) (*Handover, error) {
	if c.Board == nil || c.Log == nil || c.Timeout <= 0 {
		return nil, errors.New("drain: board, log and timeout are required")
	}
	return &Handover{HandoverConfig: c}, nil
}

// Run waits for the end of its context, and then until the work in flight on
// the databases of this VM has ended.
func (h *Handover) Run(ctx context.Context) error {
	<-ctx.Done()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Timeout)
	defer cancel()
	linger := time.NewTimer(min(h.Linger, h.Timeout))
	defer linger.Stop()
	<-linger.C
	for id, db := range h.Board.Databases.All() {
		if db.InFlight.AwaitNone(last) != nil {
			h.Log.WithField("database", id).Warn("drain: timed out, work in flight is cut")
		}
	}
	return nil
}
