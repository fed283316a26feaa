// Package configuration keeps the published configuration in force. It writes
// the published and the catalogue section of the blackboard.
package configuration

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/publish"
)

// Config says what a Controller works with.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Log      *logrus.Logger
	// RetryEvery is the time between tries while the platform fails.
	RetryEvery time.Duration
}

// Controller follows the index at the platform.
type Controller struct {
	Config
	have publish.Bundle
}

// New returns a controller.
func New(c Config) *Controller {
	if c.RetryEvery == 0 {
		c.RetryEvery = time.Second
	}
	return &Controller{Config: c}
}

// Run follows the platform until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	var version chervilladder.Version
	for ctx.Err() == nil {
		err := c.refresh(ctx)
		if err == nil {
			version, err = c.await(ctx, version)
		}
		if err != nil && ctx.Err() == nil {
			c.Log.WithError(err).Warn("configuration: platform does not answer")
			pause(ctx, c.RetryEvery)
		}
	}
	return nil
}

// await waits until the index may have changed.
func (c *Controller) await(ctx context.Context, after chervilladder.Version) (chervilladder.Version, error) {
	objects, err := c.Platform.Watch(ctx, chervilladder.KindIndex, after)
	for _, o := range objects {
		after = max(after, o.Version)
	}
	return after, err
}

func (c *Controller) refresh(ctx context.Context) error {
	b, err := publish.Update(ctx, c.Platform, c.have)
	if err != nil {
		return err
	}
	return c.Adopt(b)
}

// Adopt puts a bundle in force if it is newer than the one that is. An older
// one, from wherever it comes, changes nothing.
func (c *Controller) Adopt(b publish.Bundle) error {
	if b.Revision <= c.have.Revision {
		return nil
	}
	catalogue, err := b.Catalogue()
	if err != nil {
		return err
	}
	encoded, err := b.Encode()
	if err != nil {
		return err
	}
	c.have = b
	c.Board.Published.Store(blackboard.Published{Revision: b.Revision, Encoded: encoded, Confirmed: time.Now()})
	c.Board.Catalogue.Store(catalogue)
	c.Log.WithField("revision", b.Revision).Info("configuration: revision in force")
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
