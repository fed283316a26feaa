package blackboard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// Upstreams is the registered upstreams as this VM knows them.
type Upstreams struct {
	ByID map[chervilladder.UpstreamID]Enrolled
	// Known is set once a list has been read.
	Known bool
	// At is the store's revision that the list was last brought up to.
	At chervilladder.Revision
}

// Enrolled is one registered upstream.
type Enrolled struct {
	chervilladder.Registered
	// DrainingSince is when this VM first learnt that the upstream leaves,
	// in the VM's own time; zero while it stays.
	DrainingSince time.Time
	// LapsedSince is when the entry was found missing; the upstream is kept
	// for a while, since entries lapse while the store is away.
	LapsedSince time.Time
}

// Of returns the upstreams of a service.
func (u Upstreams) Of(service chervilladder.ServiceID) []Enrolled {
	var list []Enrolled
	for _, e := range u.ByID {
		if e.Service == service {
			list = append(list, e)
		}
	}
	return list
}

// Cluster is what a VM knows of one replicated service that it serves without
// an owner. All times are of the VM's own clock; see package clock.
type Cluster struct {
	// View is the evidence on the cluster's members. Written by
	// control/evidence.
	View Section[ClusterView]
	// Testimony is what a peer has told of a primary that this VM does not
	// reach. Written by control/witness.
	Testimony Section[Testimony]
	// Positions is the history of the primary's position, by which reads
	// that accept an age are bounded. The path of a request and
	// control/evidence add to it.
	Positions Section[freshness.History]
	// Queue holds the work that waits for a slot.
	Queue schedule.Queue
	// Retries bounds how often work is sent again.
	Retries retry.Budget
	// Applied is the mark that each member's reads were last seen at.
	Applied Table[chervilladder.UpstreamID, AppliedMark]
	// Shed is when work was last turned away for want of slots. Raised by the
	// path of a request.
	Shed Moment
	// Wanted counts the requests for evidence that is newer than what there
	// is. The path of a request asks, control/evidence answers.
	Wanted Wanted
}

// Testimony is a peer's word that it reaches the primary of a cluster and its replicas.
type Testimony struct {
	// By is the peer; empty while none has said so.
	By chervilladder.VMID
	// Led is the primary that it reaches. At is when it was asked, by this VM's
	// own clock: the peer has asked the primary since.
	Led chervilladder.Led
	At  time.Time
}

// AppliedMark is the latest mark that a member's answers have shown.
type AppliedMark struct {
	mark atomic.Pointer[chervilladder.Mark]
}

// Load returns the mark.
func (a *AppliedMark) Load() chervilladder.Mark {
	if m := a.mark.Load(); m != nil {
		return *m
	}
	return chervilladder.Mark{}
}

// Raise replaces the mark by a later one.
func (a *AppliedMark) Raise(m chervilladder.Mark) {
	for {
		old := a.mark.Load()
		if old != nil && old.Covers(m) {
			return
		}
		if a.mark.CompareAndSwap(old, &m) {
			return
		}
	}
}

// Wanted wakes those who gather evidence.
type Wanted struct{ signal Section[uint64] }

// Ask asks for evidence that is newer than this moment.
func (w *Wanted) Ask() { w.signal.Update(func(n uint64) uint64 { return n + 1 }) }

// Watch returns a channel that is closed at the next Ask.
func (w *Wanted) Watch() <-chan struct{} {
	_, changed := w.signal.Watch()
	return changed
}

// ClusterView is the evidence on a cluster's members.
type ClusterView struct {
	// Term is the highest term in which a primary was seen, and Primary is
	// that primary; empty while none was seen.
	Term    chervilladder.Term
	Primary chervilladder.UpstreamID
	// MissingSince is since when no primary is seen; zero while one is.
	MissingSince time.Time
	// UnreachedSince is since when no primary answers, whether one is seen or
	// not; zero while one does.
	UnreachedSince time.Time
	// LaggingSince is since when all replicas are further behind than any read
	// accepts; zero while one is not. Shed is when work was last turned away
	// for want of slots.
	LaggingSince, Shed time.Time
	Members            map[chervilladder.UpstreamID]Sighting
	// Departed is what the primary's log held when a replica was last found
	// gone. That replica may have been the one that confirmed it, so no
	// member that lacks it may be promoted. While DepartedSince is set, the
	// primary has not been asked since.
	Departed      chervilladder.Mark
	DepartedSince time.Time
	// Confirmations is how many replicas must have received a commit before
	// the primary acknowledges it.
	Confirmations int
}

// Sighting is the last evidence of one member.
type Sighting struct {
	Enrolled
	// Status is the member's last answer; it was asked for at Asked, which
	// is zero while there is none.
	Status chervilladder.LinkStatus
	Asked  time.Time
	// FailingSince is when the first question without an answer was asked
	// since the last answer; zero while the member answers.
	FailingSince time.Time
	// Failures counts the questions without an answer since then.
	Failures int
	// StalledSince is since when no replica has reached StalledAt, a mark
	// of this primary's log; zero while replication goes on.
	StalledSince time.Time
	StalledAt    chervilladder.Mark
	// HeldSince is since when a replica has been paused.
	HeldSince time.Time
	// Unlisted is set once the member's entry is gone. It is kept while it
	// answers, since it may still confirm commits; it gets no work.
	Unlisted bool
}

// Answers reports whether the member answered the last question.
func (s Sighting) Answers() bool {
	return !s.Asked.IsZero() && s.FailingSince.IsZero()
}

// Leaves reports whether the member gets no new work of replicas.
func (s Sighting) Leaves() bool {
	return s.Unlisted || !s.DrainingSince.IsZero()
}

// Await waits until the view satisfies a condition, and reports whether it did
// before the context ended.
func (c *Cluster) Await(ctx context.Context, holds func(ClusterView) bool) bool {
	for {
		v, changed := c.View.Watch()
		if holds(v) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
