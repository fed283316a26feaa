package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Knowledge is what peers have told of the platform's store.
type Knowledge struct {
	Routing *chervilladder.Routing
	// Upstreams are those registered at UpstreamsAt.
	Upstreams   []chervilladder.Registered
	UpstreamsAt chervilladder.Revision
}

// KnownAt returns the revisions of what the board holds of the store.
func (b *Board) KnownAt() chervilladder.KnownAt {
	known := chervilladder.KnownAt{Upstreams: b.Upstreams.Load().At}
	if r := b.Routing.Load(); r != nil {
		known.Routing = r.Revision
	}
	return known
}

// StoreAnswered returns when the store last answered this VM.
func (b *Board) StoreAnswered() time.Time {
	return later(b.RoutingAnswered.Load(), b.UpstreamsAnswered.Load())
}

// KnownAsOf returns the moment as of which the board holds what is in the store,
// by the store's own answers or by what peers tell.
func (b *Board) KnownAsOf() time.Time {
	direct := b.RoutingAnswered.Load()
	if u := b.UpstreamsAnswered.Load(); u.Before(direct) {
		direct = u
	}
	return later(direct, b.Told.Load())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reading says how this VM learns what is in the store.
type Reading struct {
	// Elsewhere is set while it learns from peers alone, ForOthers while
	// peers learn from it.
	Elsewhere, ForOthers bool
}

// Moment is the latest of some moments. The zero Moment is the zero time.
type Moment struct{ latest atomic.Pointer[time.Time] }

// Load returns the latest moment.
func (m *Moment) Load() time.Time {
	if t := m.latest.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Raise notes a moment unless a later one is known.
func (m *Moment) Raise(t time.Time) {
	for {
		old := m.latest.Load()
		if old != nil && !t.After(*old) || m.latest.CompareAndSwap(old, &t) {
			return
		}
	}
}
