package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Knowledge is the content of the platform's store as peers have reported it.
type Knowledge struct {
	Routing *chervilladder.Routing
	// Upstreams are the ones registered as of revision UpstreamsRevision.
	Upstreams         []chervilladder.Registered
	UpstreamsRevision chervilladder.StoreRevision
	// Drains says since when upstreams drain, as far as peers know.
	Drains map[chervilladder.UpstreamID]Drain
}

// Drain is the drain of an upstream that was started at Born.
type Drain struct{ Born, Since time.Time }

// KnownRevisions returns the store's revisions of the routing and the upstreams
// on the board.
func (b *Board) KnownRevisions() chervilladder.KnownRevisions {
	known := chervilladder.KnownRevisions{Upstreams: b.Upstreams.Load().Revision}
	if r := b.Routing.Load(); r != nil {
		known.Routing, known.Version = r.Revision, r.Version
	}
	return known
}

// StoreAnswered returns when the store last answered this VM.
func (b *Board) StoreAnswered() time.Time {
	return later(b.RoutingAnswered.Load(), b.UpstreamsAnswered.Load())
}

// KnownAsOf returns the time as of which the board reflects the store. By the
// store's own answers to this VM that is the earlier of RoutingAnswered and
// UpstreamsAnswered, since both parts must be known. A peer's report may be more
// recent than that; the later time counts.
func (b *Board) KnownAsOf() time.Time {
	direct := b.RoutingAnswered.Load()
	if u := b.UpstreamsAnswered.Load(); u.Before(direct) {
		direct = u
	}
	return later(direct, b.PeerConfirmedAt.Load())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreAccess says how this VM learns the content of the platform's store.
type StoreAccess struct {
	// FromPeers is set while the VM follows peers and doesn't read the store.
	// ForPeers is set while it reads the store and peers follow it.
	FromPeers, ForPeers bool
}

// LatestTime holds the latest of the times that it was raised to. The zero
// LatestTime holds the zero time.
type LatestTime struct{ latest atomic.Pointer[time.Time] }

// Load returns the latest time.
func (l *LatestTime) Load() time.Time {
	if t := l.latest.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Raise replaces the time if the given one is later.
func (l *LatestTime) Raise(t time.Time) {
	for {
		old := l.latest.Load()
		if old != nil && !t.After(*old) || l.latest.CompareAndSwap(old, &t) {
			return
		}
	}
}
