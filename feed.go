package chervilladder

import (
	"context"
	"time"
)

// KnownRevisions holds the store's revisions of the routing and the upstreams
// that a VM knows.
type KnownRevisions struct {
	Routing, Upstreams StoreRevision
	// Version is the version of the routing. After the store has come back from an
	// older copy, VMs may know different versions at one revision.
	Version ConfigVersion
}

// CoversRouting reports whether k's routing is at least as new as that of other.
func (k KnownRevisions) CoversRouting(other KnownRevisions) bool {
	return k.Routing.Covers(other.Routing) && k.Version >= other.Version
}

// Covers reports whether both parts are at least as new as those of other.
func (k KnownRevisions) Covers(other KnownRevisions) bool {
	return k.CoversRouting(other) && k.Upstreams.Covers(other.Upstreams)
}

// Later returns the later revision of each part.
func (k KnownRevisions) Later(other KnownRevisions) KnownRevisions {
	return KnownRevisions{
		Routing: k.Routing.Later(other.Routing), Upstreams: k.Upstreams.Later(other.Upstreams), Version: max(k.Version, other.Version),
	}
}

// In returns the revisions in an era where they bear none: those of a VM whose build knows
// no eras.
func (k KnownRevisions) In(e Era) KnownRevisions {
	k.Routing, k.Upstreams = k.Routing.In(e), k.Upstreams.In(e)
	return k
}

// Era returns the latest era that is known.
func (k KnownRevisions) Era() Era { return max(k.Routing.Era, k.Upstreams.Era) }

// Following holds the parameters with which a VM follows the feed of another.
type Following struct {
	// Have holds the revisions that the follower already has.
	Have KnownRevisions
	// HeartbeatsOnly requests heartbeats without content: only the age and the
	// revisions of what the followed VM knows.
	HeartbeatsOnly bool
}

// StoreUpdate is an update or heartbeat about the platform's store that a VM
// sends to its followers.
type StoreUpdate struct {
	// Age is how long ago the store last confirmed what the sender knows. Has
	// holds the revisions of that.
	Age time.Duration
	Has KnownRevisions
	// Routing and Upstreams hold what has changed, encoded; empty if nothing
	// has.
	Routing, Upstreams []byte
}

// Feed provides what this VM knows of the platform's store to followers.
type Feed interface {
	// SendUpdates calls send with what is newer than the given revisions, and
	// then with each change, until the context ends or send fails.
	SendUpdates(ctx context.Context, f Following, send func(StoreUpdate) error) error
}

// Feeds follows the feeds of peers.
type Feeds interface {
	// Follow calls receive with each update and heartbeat from a peer, until
	// the context ends or the connection to the peer is lost.
	Follow(ctx context.Context, peer Address, f Following, receive func(StoreUpdate)) error
}
