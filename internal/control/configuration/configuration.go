// Package configuration puts the published configuration in force. It writes the
// published and the catalogue section of the blackboard.
//
// A few VMs watch the index object at the platform, which names the current
// revision and its parts. All others receive the number of a newer revision from
// a peer and fetch the revision from that peer, so that the platform's load
// doesn't depend on the number of VMs.
//
// Only daemon.Run starts this package; daemon.RunOnPlatform starts packages relay
// and routing instead.
package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Config configures a Controller.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Relay    chervilladder.Relay
	Log      *logrus.Logger
	// RetryEvery is the time between attempts while the platform or a peer
	// fails.
	RetryEvery time.Duration
	// PollEvery is the time between two reads of the platform by a VM that
	// doesn't watch it.
	PollEvery time.Duration
	// JoinTimeout is how long a newly started VM waits for a configuration
	// from its peers before it reads the platform.
	JoinTimeout time.Duration
	// PullTimeout bounds the time to fetch a revision from one peer.
	PullTimeout time.Duration
}

// Controller follows the index at the platform and the revisions of its peers.
type Controller struct {
	Config

	mu      sync.Mutex // held while a bundle is put in force
	have    publish.Bundle
	history []publish.Bundle
}

// New returns a controller. Zero durations get their defaults.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Platform == nil || c.Relay == nil || c.Log == nil {
		return nil, errors.New("configuration: board, platform, relay and log are required")
	}
	setDefault(&c.RetryEvery, time.Second)
	setDefault(&c.PollEvery, 5*time.Minute)
	setDefault(&c.JoinTimeout, 1500*time.Millisecond)
	setDefault(&c.PullTimeout, time.Second)
	return &Controller{Config: c}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run follows the platform and the peers until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	recovery.Go(ctx, &parts, c.Log, "configuration", c.followPeers)
	recovery.Go(ctx, &parts, c.Log, "configuration", c.followPlatform)
	parts.Wait()
	return nil
}

// keptBases is the number of earlier revisions for which a VM keeps a delta.
const keptBases = 8

// Adopt puts a bundle in force if it is newer than the current one. An older one
// has no effect, whatever its source.
func (c *Controller) Adopt(b publish.Bundle) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Revision <= c.have.Revision {
		return nil
	}
	catalogue, err := b.Catalogue()
	if err != nil {
		return err
	}
	published, err := c.encode(b)
	if err != nil {
		return err
	}
	if c.have.Revision > 0 {
		c.history = append(c.history, c.have)
		c.history = c.history[max(0, len(c.history)-keptBases):]
	}
	c.have = b
	c.Board.Catalogue.Store(catalogue)
	c.Board.Published.Store(published)
	c.Log.WithField("revision", b.Revision).Info("configuration: revision in force")
	return nil
}

// encode encodes a bundle, and its deltas from earlier revisions, for peers.
func (c *Controller) encode(b publish.Bundle) (blackboard.Published, error) {
	encoded, err := b.Encode()
	if err != nil {
		return blackboard.Published{}, err
	}
	p := blackboard.Published{Revision: b.Revision, Encoded: encoded}
	for _, base := range append(c.history[:len(c.history):len(c.history)], c.have) {
		if base.Revision == 0 {
			continue
		}
		delta, err := b.DeltaSince(base).Encode()
		if err != nil {
			return blackboard.Published{}, err
		}
		p.Deltas = append(p.Deltas, blackboard.Delta{Base: base.Revision, Encoded: delta})
	}
	return p, nil
}

// confirm records the time at which a revision was the newest one.
func (c *Controller) confirm(r chervilladder.Revision, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.Board.Published.Load()
	if r != p.Revision || !at.After(p.Confirmed) {
		return
	}
	p.Confirmed = at
	c.Board.Published.Store(p)
}

func (c *Controller) current() publish.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.have
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
