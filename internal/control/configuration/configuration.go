// Package configuration keeps the published configuration in force. It writes
// the published and the catalogue section of the blackboard.
//
// A few VMs watch the index at the platform. All others hear of a newer
// revision from their peers and fetch it from the one that they heard it from,
// so that the platform's load doesn't depend on the number of VMs.
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
)

// Config says what a Controller works with.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Relay    chervilladder.Relay
	Log      *logrus.Logger
	// RetryEvery is the time between tries while the platform or a peer
	// fails.
	RetryEvery time.Duration
	// PollEvery is the time between looks at the platform of a VM that
	// doesn't watch it.
	PollEvery time.Duration
	// JoinTimeout is how long a VM that starts waits to hear from peers
	// before it asks the platform.
	JoinTimeout time.Duration
	// PullTimeout bounds the fetching from one peer.
	PullTimeout time.Duration
}

// Controller follows the index at the platform and the revisions of the peers.
type Controller struct {
	Config

	mu      sync.Mutex // held while a bundle is put in force
	have    publish.Bundle
	history []publish.Bundle
}

// New returns a controller. Times that are zero get their defaults.
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
	parts.Go(func() { c.followPeers(ctx) })
	parts.Go(func() { c.followPlatform(ctx) })
	parts.Wait()
	return nil
}

// keptBases is how many earlier revisions a VM can tell the difference from.
const keptBases = 8

// Adopt puts a bundle in force if it is newer than the one that is. An older
// one, from wherever it comes, changes nothing.
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

// encode prepares what peers will ask for.
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
		since, err := b.Since(base).Encode()
		if err != nil {
			return blackboard.Published{}, err
		}
		p.Since = append(p.Since, blackboard.Delta{Base: base.Revision, Encoded: since})
	}
	return p, nil
}

// confirm records that nothing newer than a revision was in force at a time.
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

func (c *Controller) held() publish.Bundle {
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
