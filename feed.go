package chervilladder

import (
	"context"
	"time"
)

// KnownAt names the store's revisions of what a VM knows.
type KnownAt struct {
	Routing, Upstreams Revision
}

// Covers reports whether a VM that knows this knows all that is at the other.
func (k KnownAt) Covers(other KnownAt) bool {
	return k.Routing >= other.Routing && k.Upstreams >= other.Upstreams
}

// Later returns the later revision of each part.
func (k KnownAt) Later(other KnownAt) KnownAt {
	return KnownAt{Routing: max(k.Routing, other.Routing), Upstreams: max(k.Upstreams, other.Upstreams)}
}

// Following is how a VM follows another one.
type Following struct {
	// Have is what it knows already.
	Have KnownAt
	// BeatsOnly asks for no news, but to be told now and then how old what the
	// other one knows is.
	BeatsOnly bool
}

// News is what a VM tells another one of the platform's store.
type News struct {
	// Age is how long ago the store last confirmed what the VM knows, Has the
	// revisions of that.
	Age time.Duration
	Has KnownAt
	// Routing and Upstreams hold what has changed, encoded; either is empty
	// if nothing about it has.
	Routing, Upstreams []byte
}

// Feed tells what this VM knows from the platform's store.
type Feed interface {
	// Follow tells what is newer than the revisions named, and what changes
	// from then on, until the context ends or tell fails.
	Follow(ctx context.Context, f Following, tell func(News) error) error
}

// Feeds follows the feeds of peers.
type Feeds interface {
	// Follow has hear called with all that a peer tells, until the context
	// ends or the peer is lost.
	Follow(ctx context.Context, peer Address, f Following, hear func(News)) error
}
