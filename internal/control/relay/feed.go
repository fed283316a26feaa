package relay

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Intervals of a feed.
const (
	// heartbeatEvery is how often a follower is sent the age of this VM's data.
	heartbeatEvery = 300 * time.Millisecond
	// feedGap is the minimum time between two messages. Changes within it
	// are sent together.
	feedGap = 100 * time.Millisecond
)

var _ chervilladder.Feed = (*Controller)(nil)

// SendUpdates sends a peer what this VM knows of the store's contents.
func (k *Controller) SendUpdates(ctx context.Context, f chervilladder.Following, send func(chervilladder.StoreUpdate) error) error {
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	var sent upstreams
	for {
		published, routingChanged := k.c.Board.Published.Watch()
		registered, upstreamsChanged := k.c.Board.Upstreams.Watch()
		update := chervilladder.StoreUpdate{
			Age: k.c.Clock().Sub(k.c.Board.KnownAsOf()),
			Has: chervilladder.KnownRevisions{Routing: published.StoreRevision, Upstreams: registered.Revision, Version: published.Version},
		}
		f.Have = f.Have.In(update.Has.Era())
		if f.HeartbeatsOnly {
			routingChanged, upstreamsChanged = nil, nil
		} else {
			var err error
			if sent, err = addChanges(&update, &f.Have, published, registered, sent, k.c.Clock()); err != nil {
				return err
			}
		}
		if err := send(update); err != nil {
			return err
		}
		if !pause(ctx, feedGap) {
			return nil
		}
		select {
		case <-routingChanged:
		case <-upstreamsChanged:
		case <-heartbeat.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// addChanges adds to an update what a follower lacks, and returns the list of
// upstreams that has been sent to it after that.
func addChanges(update *chervilladder.StoreUpdate, have *chervilladder.KnownRevisions, published blackboard.Published, registered blackboard.Upstreams, sent upstreams, clock time.Time) (upstreams, error) {
	if !have.CoversRouting(update.Has) {
		update.Routing, have.Routing, have.Version = published.Encoded, published.StoreRevision, published.Version
	}
	if have.Upstreams.Covers(registered.Revision) {
		return sent, nil
	}
	now := presentEntries(registered)
	change := diff(sent, now, registered.Revision)
	change.DrainingFor = knownDrains(registered, clock)
	encoded, err := encode(change)
	if err != nil {
		return sent, err
	}
	update.Upstreams, have.Upstreams = encoded, registered.Revision
	return now, nil
}

// presentEntries returns the upstreams whose entries are in the store.
func presentEntries(u blackboard.Upstreams) upstreams {
	list := make(upstreams, len(u.ByID))
	for id, e := range u.ByID {
		if e.MissingSince.IsZero() {
			list[id] = e.Registered
		}
	}
	return list
}

// knownDrains returns for how long the upstreams drain of which this VM knows it.
func knownDrains(u blackboard.Upstreams, now time.Time) map[chervilladder.UpstreamID]time.Duration {
	drains := make(map[chervilladder.UpstreamID]time.Duration)
	for id, e := range u.ByID {
		if e.Draining && !e.DrainAssumed {
			drains[id] = now.Sub(e.DrainingSince)
		}
	}
	return drains
}

// diff returns the change from one list to another, or the whole list if the peer
// has been sent none.
func diff(from, to upstreams, at chervilladder.StoreRevision) listChange {
	c := listChange{At: at, Whole: from == nil}
	for id, r := range to {
		if before, ok := from[id]; !ok || before != r {
			c.Entries = append(c.Entries, r)
		}
	}
	for id := range from {
		if _, ok := to[id]; !ok {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// encodeRouting keeps the configuration on the blackboard in the encoding in which
// it is sent to peers.
func (k *Controller) encodeRouting(ctx context.Context) {
	for {
		routing, changed := k.c.Board.Routing.Watch()
		if routing != nil {
			encoded, err := encode(routing)
			if err != nil {
				k.c.Log.WithError(err).Error("relay: could not encode the configuration for peers")
			} else {
				k.c.Board.Published.Store(blackboard.Published{StoreRevision: routing.Revision, Version: routing.Version, Encoded: encoded})
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
