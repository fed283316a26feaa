package chervilladder

import (
	"context"
	"time"
)

// KnownAt names the store's revisions of what a VM knows.
type KnownAt struct {
	Routing, Upstreams Revision
}

// News is what a VM tells another one of the platform's store.
type News struct {
	// Age is how long ago the store last confirmed what the VM knows.
	Age time.Duration
	// Routing and Upstreams hold what has changed, encoded; either is empty
	// if nothing about it has.
	Routing, Upstreams []byte
}

// Feed tells what this VM knows from the platform's store.
type Feed interface {
	// Follow tells what is newer than the revisions named, and each change
	// from then on, until the context ends or tell fails.
	Follow(ctx context.Context, have KnownAt, tell func(News) error) error
}

// Feeds follows the feeds of peers.
type Feeds interface {
	// Follow has hear called with all that a peer tells, until the context
	// ends or the peer is lost.
	Follow(ctx context.Context, peer Address, have KnownAt, hear func(News)) error
}
