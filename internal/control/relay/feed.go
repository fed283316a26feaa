package relay

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The pace of a feed.
const (
	// beatEvery is how often a follower is told how old all that is.
	beatEvery = 300 * time.Millisecond
	// feedGap is the time between two messages: what changes meanwhile goes
	// together.
	feedGap = 100 * time.Millisecond
)

var _ chervilladder.Feed = (*Controller)(nil)

// Follow tells a peer what this VM knows from the store.
func (k *Controller) Follow(ctx context.Context, f chervilladder.Following, tell func(chervilladder.News) error) error {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	var told upstreams
	for {
		published, routed := k.c.Board.Published.Watch()
		registered, listed := k.c.Board.Upstreams.Watch()
		news := chervilladder.News{
			Age: k.c.Clock().Sub(k.c.Board.KnownAsOf()),
			Has: chervilladder.KnownAt{Routing: published.Revision, Upstreams: registered.At},
		}
		if f.BeatsOnly {
			routed, listed = nil, nil
		} else {
			var err error
			if told, err = add(&news, &f.Have, published, registered, told); err != nil {
				return err
			}
		}
		if err := tell(news); err != nil {
			return err
		}
		if !pause(ctx, feedGap) {
			return nil
		}
		select {
		case <-routed:
		case <-listed:
		case <-beat.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// add puts into the news what a follower lacks, and returns the list of upstreams that
// it has been told then.
func add(news *chervilladder.News, have *chervilladder.KnownAt, published blackboard.Published, registered blackboard.Upstreams, told upstreams) (upstreams, error) {
	if published.Revision > have.Routing {
		news.Routing, have.Routing = published.Encoded, published.Revision
	}
	if registered.At <= have.Upstreams {
		return told, nil
	}
	now := present(registered)
	encoded, err := encode(change(told, now, registered.At))
	if err != nil {
		return told, err
	}
	news.Upstreams, have.Upstreams = encoded, registered.At
	return now, nil
}

// present returns the upstreams whose entries are there.
func present(u blackboard.Upstreams) upstreams {
	list := make(upstreams, len(u.ByID))
	for id, e := range u.ByID {
		if e.LapsedSince.IsZero() {
			list[id] = e.Registered
		}
	}
	return list
}

// change returns what makes one list the other, which is all of it if the peer has
// been told none.
func change(from, to upstreams, at chervilladder.Revision) listed {
	c := listed{At: at, Whole: from == nil}
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

// publish keeps the configuration in the form in which peers are told of it.
func (k *Controller) publish(ctx context.Context) {
	for {
		routing, routed := k.c.Board.Routing.Watch()
		if routing != nil {
			encoded, err := encode(routing)
			if err != nil {
				k.c.Log.WithError(err).Error("relay: configuration not offered to peers")
			} else {
				k.c.Board.Published.Store(blackboard.Published{Revision: routing.Revision, Encoded: encoded})
			}
		}
		select {
		case <-routed:
		case <-ctx.Done():
			return
		}
	}
}
