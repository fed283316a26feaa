// Package bounds keeps what the deployment demands of the VM on the blackboard.
package bounds

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// readEvery is how often the bounds are read without a request to do so: they
// may change without a signal.
const readEvery = 2 * time.Second

// Config configures a Controller.
type Config struct {
	Board  *blackboard.Board
	Source chervilladder.BoundsSource
	Log    *logrus.Logger
	// Reload receives requests to read the bounds at once.
	Reload <-chan struct{}
}

// Controller is the one writer of the board's Bounds.
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
	t := time.NewTicker(readEvery)
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

// read takes over what has changed. What can't be read changes nothing. A read
// that was requested is logged whatever it finds.
func (k *Controller) read(requested bool) {
	b, err := k.c.Source.Bounds()
	if err != nil {
		if requested || !k.failing {
			k.c.Log.WithError(err).Error("bounds: settings not read, the old ones stay")
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
