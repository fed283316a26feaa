// Package bounds keeps the limits that the deployment sets for the VM on the blackboard.
package bounds

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// readInterval is the time between two reads of the bounds without a request: they may
// change without a signal.
const readInterval = 2 * time.Second

// Config configures a Controller.
type Config struct {
	Board  *blackboard.Board
	Source chervilladder.BoundsSource
	Log    *logrus.Logger
	// Reload receives requests to read the bounds at once.
	Reload <-chan struct{}
}

// Controller is the only writer of the board's Bounds.
type Controller struct {
	c Config
	// failing is set while the source can't be read.
	failing bool
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Source == nil || c.Log == nil {
		return nil, errors.New("bounds: a board, a source and a log are needed")
	}
	return &Controller{c: c}, nil
}

// Run reads the bounds until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.read(false)
		case <-k.c.Reload:
			k.read(true)
		case <-ctx.Done():
			return nil
		}
	}
}

// read reads the bounds and stores them if they have changed. If they can't be read, the
// previous ones stay in force. A requested read is logged in any case.
func (k *Controller) read(requested bool) {
	b, err := k.c.Source.Bounds()
	if err != nil {
		if requested || !k.failing {
			k.c.Log.WithError(err).Error("bounds: settings not read; the previous ones stay in force")
		}
		k.failing = true
		return
	}
	changed := b != k.c.Board.Bounds.Load()
	if changed {
		k.c.Board.Bounds.Store(b)
	}
	if changed || requested || k.failing {
		k.c.Log.WithFields(logrus.Fields{
			"changed": changed, "grace-ms": b.Grace.Milliseconds(), "upstream-drain-ms": b.UpstreamDrain.Milliseconds(),
			"config-in-force-ms": b.ConfigInForce.Milliseconds(), "memory-bytes": b.MemoryBytes,
		}).Info("bounds: settings read")
	}
	k.failing = false
}
