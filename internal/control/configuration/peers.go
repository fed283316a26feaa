package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/publish"
)

// followPeers fetches each newer revision that peers announce.
func (c *Controller) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		hint, changed := c.Board.Hint.Watch()
		if hint.Revision > c.current().Revision {
			if err := c.pullFromAny(ctx, hint); err != nil && ctx.Err() == nil {
				c.Log.WithError(err).Warn("configuration: could not fetch a newer revision from peers")
				pause(ctx, c.RetryEvery)
				continue
			}
		}
		c.confirm(hint.Revision, hint.Confirmed)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// pullFromAny fetches a revision from the peer that announced it or, if that fails,
// from another one.
func (c *Controller) pullFromAny(ctx context.Context, hint blackboard.Hint) error {
	err := c.pull(ctx, hint.Peer)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if other, ok := c.anyPeer(hint.Peer); ok {
		err = c.pull(ctx, other)
	}
	return err
}

func (c *Controller) pull(ctx context.Context, peer chervilladder.Address) error {
	ctx, cancel := context.WithTimeout(ctx, c.PullTimeout)
	defer cancel()
	have := c.current()
	r, err := c.Relay.Pull(ctx, peer, have.Revision)
	if err != nil || len(r.Encoded) == 0 {
		return err
	}
	b, err := decode(have, r)
	var base *publish.BaseError
	if errors.As(err, &base) {
		b, err = c.pullWhole(ctx, peer)
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", peer, err)
	}
	return c.Adopt(b)
}

// pullWhole fetches a whole configuration, after a delta could not be applied.
func (c *Controller) pullWhole(ctx context.Context, peer chervilladder.Address) (publish.Bundle, error) {
	r, err := c.Relay.Pull(ctx, peer, 0)
	if err != nil {
		return publish.Bundle{}, err
	}
	return decode(publish.Bundle{}, r)
}

func decode(have publish.Bundle, r chervilladder.Relayed) (publish.Bundle, error) {
	if !r.Delta {
		return publish.DecodeBundle(r.Encoded)
	}
	d, err := publish.DecodeDelta(r.Encoded)
	if err != nil {
		return publish.Bundle{}, err
	}
	return have.Apply(d)
}

// anyPeer returns the address of a random responding VM other than the given one.
func (c *Controller) anyPeer(except chervilladder.Address) (chervilladder.Address, bool) {
	var list []chervilladder.Address
	for _, m := range c.Board.Members.Load().Members {
		responding := m.State == blackboard.MemberAlive || m.State == blackboard.MemberDraining
		if responding && m.VM.ID != c.Board.Self.ID && m.VM.Peer != except {
			list = append(list, m.VM.Peer)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}
