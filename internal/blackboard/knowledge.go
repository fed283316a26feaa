package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Knowledge is what a VM knows from the platform's store and passes on to VMs
// that don't reach it.
type Knowledge struct {
	Routing *chervilladder.Routing
	// Upstreams are those registered at UpstreamsAt.
	Upstreams   []chervilladder.Registered
	UpstreamsAt chervilladder.Revision
}

// Revision orders what a VM knows: it rises with each part that becomes newer.
func (k Knowledge) Revision() chervilladder.Revision {
	r := k.UpstreamsAt
	if k.Routing != nil {
		r += k.Routing.Revision
	}
	return r
}

// Knowledge returns what the board holds of the store.
func (b *Board) Knowledge() Knowledge {
	u := b.Upstreams.Load()
	k := Knowledge{Routing: b.Routing.Load(), UpstreamsAt: u.At}
	for _, e := range u.ByID {
		if e.LapsedSince.IsZero() {
			k.Upstreams = append(k.Upstreams, e.Registered)
		}
	}
	return k
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
