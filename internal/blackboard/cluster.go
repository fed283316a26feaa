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

// Upstreams holds the registered upstreams as this VM knows them.
type Upstreams struct {
	ByID map[chervilladder.UpstreamID]KnownUpstream
	// Known is set once a list has been read.
	Known bool
	// Revision is the store's revision up to which the list is current.
	Revision chervilladder.StoreRevision
	// ReadAt is when this VM last requested the list by UpstreamsTrigger and got it, by
	// the VM's own clock: the list reflects the store at that time or later.
	ReadAt time.Time
	// AskDrainsUntil is until when it is of use to ask peers since when an upstream
	// drains, by the VM's own clock; zero if all is known.
	AskDrainsUntil time.Time
}

// KnownUpstream is one registered upstream.
type KnownUpstream struct {
	chervilladder.Registered
	// DrainingSince is the earliest time at which the upstream's drain may have begun,
	// by the VM's own clock; zero while it doesn't drain. DrainAssumed is set while
	// this VM has no evidence of that time; the drain then counts as over.
	DrainingSince time.Time
	DrainAssumed  bool
	// MissingSince is when the entry was found missing. The upstream is kept
	// for some time after that, since entries lapse while the platform's
	// store is unavailable.
	MissingSince time.Time
}

// Of returns the upstreams of a service.
func (u Upstreams) Of(service chervilladder.ServiceID) []KnownUpstream {
	var list []KnownUpstream
	for _, e := range u.ByID {
		if e.Service == service {
			list = append(list, e)
		}
	}
	return list
}

// Cluster is the state of one replicated service that a VM serves without an
// owner; each VM keeps its own. For a database with an owner, Database and Group
// take its place. All times are of the VM's own clock; see package clock.
type Cluster struct {
	// View holds the status observations of the cluster's members. Written by
	// control/statuspoll.
	View Section[ClusterView]
	// PeerReport is a peer's report of a primary that this VM doesn't reach.
	// Written by control/reachability.
	PeerReport Section[PeerReport]
	// Positions is the history of the primary's position, from which the age
	// of a replica's data is bounded. The path of a request and
	// control/statuspoll add to it.
	Positions Section[freshness.History]
	// Queue holds the work that waits for a slot.
	Queue schedule.Queue
	// Retries limits how often work is retried.
	Retries retry.Budget
	// Applied is the latest mark that answers to reads at each member have
	// shown.
	Applied Table[chervilladder.UpstreamID, LatestMark]
	// LastShed is the time at which work was last shed for lack of slots.
	// Raised by the path of a request.
	LastShed LatestTime
	// Resumed holds when this VM last ordered a member to resume; for logs.
	// Raised by control/failover.
	Resumed Table[chervilladder.UpstreamID, LatestTime]
	// Replacement holds the replicas that may become the primary. Written by
	// control/failover.
	Replacement Section[Replacement]
	// Reported is the latest commit that this VM has reported as done while the service
	// kept commits over a failover. Raised by the path of a request, before it reports.
	Reported LatestMark
	// PollTrigger carries requests to poll the members. The path of a request
	// asks and control/statuspoll polls.
	PollTrigger PollTrigger
	// StatusTriggers carry requests to poll one member.
	StatusTriggers Table[chervilladder.UpstreamID, PollTrigger]
}

// PeerReport is a peer's report that it reaches the primary of a cluster and
// the replicas that the primary needs.
type PeerReport struct {
	// By is the peer; empty while there is no report.
	By chervilladder.VMID
	// Reached is the primary that the peer reaches. RequestedAt is when this VM
	// requested the report, by its own clock: the peer has polled the primary
	// since.
	Reached     chervilladder.PrimaryTerm
	RequestedAt time.Time
}

// LatestMark holds the latest of the marks that it was raised to. The zero LatestMark
// holds the zero mark.
type LatestMark struct {
	mark atomic.Pointer[chervilladder.Mark]
}

// Load returns the mark.
func (a *LatestMark) Load() chervilladder.Mark {
	if m := a.mark.Load(); m != nil {
		return *m
	}
	return chervilladder.Mark{}
}

// Raise replaces the mark if the given one is later.
func (a *LatestMark) Raise(m chervilladder.Mark) {
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

// PollTrigger wakes the controller that polls a cluster's members, or reads a list.
type PollTrigger struct{ signal Section[uint64] }

// Ask requests a new poll. Statuses that were requested before the call don't
// satisfy it.
func (p *PollTrigger) Ask() { p.signal.Update(func(n uint64) uint64 { return n + 1 }) }

// Watch returns a channel that is closed at the next Ask.
func (p *PollTrigger) Watch() <-chan struct{} {
	_, changed := p.signal.Watch()
	return changed
}

// ClusterView holds the status observations of a cluster's members.
type ClusterView struct {
	// Term is the highest term in which a primary was observed, and Primary is
	// that primary; empty while there is none.
	Term    chervilladder.Term
	Primary chervilladder.UpstreamID
	// MissingSince is since when no primary is known; zero while one is.
	MissingSince time.Time
	// UnreachedSince is since when no primary answers, whether one is known or
	// not; zero while one answers.
	UnreachedSince time.Time
	// LaggingSince is since when all replicas are further behind than any read
	// accepts; zero while at least one is not. LastShed is the time at which
	// work was last shed for lack of slots.
	LaggingSince, LastShed time.Time
	Members                map[chervilladder.UpstreamID]MemberObservation
	// DepartedMark is the end of the primary's log when a replica was last
	// found to have left, or when this VM began to poll the cluster or a member
	// that was primary already: replicas that it never knew may have left
	// before. Such a replica may have been the one that confirmed the log up to
	// there, so no member that lacks any of it may be promoted. DepartedSince
	// is the time of that; the first status of the primary that was requested
	// since raises DepartedMark and sets DepartedSince to zero.
	DepartedMark  chervilladder.Mark
	DepartedSince time.Time
	// Confirmations is how many replicas must have received a commit before
	// the primary acknowledges it.
	Confirmations int
}

// MemberObservation is the last observation of one member.
type MemberObservation struct {
	KnownUpstream
	// Status is the member's last status; it was requested at RequestedAt, which is
	// zero while there is none.
	Status      chervilladder.LinkStatus
	RequestedAt time.Time
	// FailingSince is when the first of the status requests was sent that the
	// member has left unanswered since its last answer; zero while the member
	// answers.
	FailingSince time.Time
	// BusyAt is when the member last answered that it is too busy or full for a status.
	BusyAt time.Time
	// RespondingSince is when the first of the status requests was sent that the member
	// has answered without a break.
	RespondingSince time.Time
	// Failures counts the unanswered status requests since then.
	Failures int
	// StalledSince is since when no replica has reached StalledAt, a mark
	// of this primary's log; zero while replication progresses.
	StalledSince time.Time
	StalledAt    chervilladder.Mark
	// PausedSince is since when a replica has been paused.
	PausedSince time.Time
	// Deregistered is set once the member's registration is gone. The member is
	// kept while it answers, since it may still confirm commits, but it gets
	// no work.
	Deregistered bool
}

// Answers reports whether the member answered the last status request.
func (o MemberObservation) Answers() bool {
	return !o.RequestedAt.IsZero() && o.FailingSince.IsZero()
}

// Leaves reports whether the member gets no new work as a replica.
func (o MemberObservation) Leaves() bool {
	return o.Deregistered || !o.DrainingSince.IsZero()
}

// Await waits until the view satisfies a condition. It returns false if the
// context ends first.
func (c *Cluster) Await(ctx context.Context, satisfies func(ClusterView) bool) bool {
	for {
		v, changed := c.View.Watch()
		if satisfies(v) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
