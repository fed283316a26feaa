// Package lead decides which member of a cluster is the primary, whether it is
// proven to be the only one, when it is to be replaced, and by which replica. It is
// for replicated services that VMs serve without an owner (blackboard.Cluster). For
// the group of a database with an owner, see packages promotion and proof.
package lead

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// If all replicas report that they follow a term, no primary of a later term opens
// within Lease after the statuses were requested. For that, a failover pauses the
// replicas, except the one that a planned failover promotes, and waits for
// PauseBeforePromotion after the last one is paused before it orders the promotion.
// The rest of Lease passes while the platform carries out the order: the promotion
// itself takes longer than the difference between Lease and PauseBeforePromotion.
const (
	Lease                = 700 * time.Millisecond
	PauseBeforePromotion = 500 * time.Millisecond
)

// Primary returns the primary of the highest term among the members' statuses,
// or the view's current primary if none has a higher term.
func Primary(v blackboard.ClusterView) (chervilladder.UpstreamID, chervilladder.Term) {
	id, term := v.Primary, v.Term
	if _, known := v.Members[id]; !known {
		id = ""
	}
	for member, o := range v.Members {
		if o.RequestedAt.IsZero() || !o.Status.Primary {
			continue
		}
		if o.Status.Term > term || o.Status.Term == term && id == "" {
			id, term = member, o.Status.Term
		}
	}
	if id == "" {
		return "", term
	}
	if o := v.Members[id]; !o.Status.Primary && o.Answers() {
		return "", term // the primary has stepped down
	}
	return id, term
}

// Proven reports whether the view's primary is certain to have been the only
// one that acknowledged commits before a point in time. Either of two conditions
// proves it:
//
//  1. By statuses requested at that time or later, so many replicas still followed
//     the primary's term that too few are left to confirm the commits of a new
//     primary, which acknowledges nothing until the required number of other
//     replicas follow its term.
//  2. By statuses requested within Lease before that time or later, all replicas
//     followed the primary's term: a failover pauses the replicas that it doesn't
//     promote for at least Lease before the new primary opens.
func Proven(v blackboard.ClusterView, before time.Time) bool {
	if v.Primary == "" {
		return false
	}
	replicas, after, leased := 0, 0, 0
	for id, o := range v.Members {
		if id == v.Primary {
			continue
		}
		replicas++
		if !follows(o, v.Term) {
			continue
		}
		if !o.RequestedAt.Before(before) {
			after++
		}
		if o.RequestedAt.After(before.Add(-Lease)) {
			leased++
		}
	}
	if replicas == 0 {
		return false
	}
	return leased == replicas || after >= max(1, replicas-v.Confirmations)
}

// follows reports whether a member's last status is that of a replica which
// follows a term and isn't paused for a later one.
func follows(o blackboard.MemberObservation, term chervilladder.Term) bool {
	return !o.RequestedAt.IsZero() && !o.Status.Primary && o.Status.Term == term && o.Status.PauseTerm <= term
}

// Cause says why a cluster needs an action. For CauseLeftPaused and CauseOutdated
// that is the correction of another member; for the others the primary is replaced.
type Cause string

// The causes. The empty cause means that nothing is to be done. The values appear in
// logs, so they stay even where the constant has another name.
const (
	CauseNone Cause = ""
	// CauseDead is a primary that doesn't answer on new connections.
	CauseDead Cause = "dead"
	// CauseMissing is a cluster in which no member is known as the primary and at
	// least two members answer.
	CauseMissing Cause = "missing"
	// CauseCutOff is a primary whose commits reach no replica.
	CauseCutOff Cause = "cut-off"
	// CauseLeaving is a primary that works but is draining or no longer
	// registered.
	CauseLeaving Cause = "leaving"
	// CauseLagging is a primary that sheds work while all replicas are too far
	// behind to serve reads. After a failover two members can serve them: the
	// promoted replica is up to date once it opens, and the old primary is so
	// as a replica.
	CauseLagging Cause = "lagging"
	// CauseUnfinished is a failover that was begun and not completed.
	CauseUnfinished Cause = "unfinished"
	// CauseLeftPaused is a replica that is still paused for a failover that has
	// completed. The primary stays; the replica is resumed.
	CauseLeftPaused Cause = "forgotten"
	// CauseOutdated is a member that still considers itself the primary of an
	// earlier term. The current primary stays; the member is demoted.
	CauseOutdated Cause = "outdated"
)

// Planned reports whether the old primary serves until its successor is
// promoted.
func (c Cause) Planned() bool { return c == CauseLeaving }

// How long a condition must last to be a cause.
const (
	unreachableAfter = 600 * time.Millisecond
	stalledAfter     = 1200 * time.Millisecond
	unfinishedAfter  = 2 * time.Second
	leftPausedAfter  = 400 * time.Millisecond
	laggingAfter     = time.Second
	// shedWithin is how recently work must have been shed for it to count.
	shedWithin = 2 * time.Second
	// missingAfter is longer than an ordered promotion takes to be observed:
	// the old primary steps down before its successor is ordered.
	missingAfter = 2500 * time.Millisecond
	// neverSeenAfter takes the place of missingAfter at a VM that has never
	// observed a primary. Upstreams whose registrations are missing, the primary
	// among them, register again sooner than that.
	neverSeenAfter = 5 * time.Second
	// unreachableFailures is how many consecutive status requests an unreachable
	// member has left unanswered, all but the first on new connections.
	unreachableFailures = 3
)

// Assess judges the primary of a cluster. The primary stays if no replica
// answers, since nothing could be promoted, and also if a peer reaches the
// primary, since work is then forwarded to that peer.
func Assess(v blackboard.ClusterView, report blackboard.PeerReport, now time.Time) Cause {
	if !anyReplica(v) {
		return CauseNone
	}
	p, known := v.Members[v.Primary]
	peerReaches := ForwardTo(v, report, now) != ""
	switch {
	case !known && peerReaches:
		return CauseNone
	case !known:
		return assessMissing(v, now)
	case unreachable(p, now) && peerReaches:
		return CauseNone
	case unreachable(p, now):
		return CauseDead
	}
	// Paused replicas come first: a paused replica confirms nothing, so a stall
	// then doesn't show that the primary is cut off.
	if cause := assessPaused(v, now); cause != CauseNone {
		return cause
	}
	switch {
	case !p.StalledSince.IsZero() && now.Sub(p.StalledSince) >= stalledAfter && len(Outdated(v)) == 0:
		return CauseCutOff
	case p.Leaves():
		return CauseLeaving
	case len(Outdated(v)) > 0:
		return CauseOutdated
	case lagging(v, now):
		return CauseLagging
	default:
		return CauseNone
	}
}

// lagging reports whether only the primary can serve work and is overloaded.
// Without confirmations by replicas a failover may lose commits, so lag alone
// doesn't justify one.
func lagging(v blackboard.ClusterView, now time.Time) bool {
	return v.Confirmations > 0 && !v.LaggingSince.IsZero() &&
		now.Sub(v.LaggingSince) >= laggingAfter && now.Sub(v.LastShed) <= shedWithin
}

// Outdated returns the members that report themselves as primaries of earlier
// terms.
func Outdated(v blackboard.ClusterView) []chervilladder.UpstreamID {
	var list []chervilladder.UpstreamID
	for id, o := range v.Members {
		if id != v.Primary && o.Answers() && o.Status.Primary && o.Status.Term < v.Term {
			list = append(list, id)
		}
	}
	return list
}

// assessPaused judges a cluster by its paused replicas. One that was paused for a
// failover that has completed is resumed only while the primary answers and no
// outdated primary does: the resume command names no term, so the replica would
// follow whichever primary it reaches.
func assessPaused(v blackboard.ClusterView, now time.Time) Cause {
	cause := CauseNone
	for _, o := range v.Members {
		switch paused := now.Sub(o.PausedSince); {
		case o.PausedSince.IsZero() || !o.Answers():
		case o.Status.PauseTerm > v.Term && paused >= unfinishedAfter:
			return CauseUnfinished
		case o.Status.PauseTerm <= v.Term && paused >= leftPausedAfter && v.Members[v.Primary].Answers() && len(Outdated(v)) == 0:
			cause = CauseLeftPaused
		}
	}
	return cause
}

// AllPolledSince reports whether the statuses of all members that answer were
// requested at a point in time or later.
func AllPolledSince(v blackboard.ClusterView, since time.Time) bool {
	for _, o := range v.Members {
		if o.Answers() && o.RequestedAt.Before(since) {
			return false
		}
	}
	return true
}

// NonePaused reports whether all replicas answer and none is paused.
func NonePaused(v blackboard.ClusterView) bool {
	return allReplicas(v, func(o blackboard.MemberObservation) bool { return o.Answers() && o.Status.PauseTerm == 0 })
}

// LeftPaused returns the replicas that are still paused for the primary's term or
// an earlier one.
func LeftPaused(v blackboard.ClusterView) []chervilladder.UpstreamID {
	var list []chervilladder.UpstreamID
	for id, o := range v.Members {
		if id != v.Primary && o.Status.PauseTerm != 0 && o.Status.PauseTerm <= v.Term {
			list = append(list, id)
		}
	}
	return list
}

func anyReplica(v blackboard.ClusterView) bool {
	for id, o := range v.Members {
		if id != v.Primary && o.Answers() && !o.Leaves() {
			return true
		}
	}
	return false
}

// assessMissing judges a cluster in which no member reports itself as the
// primary. Every member must have been polled for long enough that a promotion
// would have been observed. Members that answer must have reported their status
// since the primary went missing: one that is too busy to report may be the
// primary.
func assessMissing(v blackboard.ClusterView, now time.Time) Cause {
	answering, withLog := 0, 0
	for _, o := range v.Members {
		if o.RequestedAt.IsZero() && o.Failures < unreachableFailures {
			return CauseNone // not polled often enough yet
		}
		if !o.Answers() {
			continue
		}
		if o.RequestedAt.Before(v.MissingSince) {
			return CauseNone
		}
		answering++
		if o.Status.Received.Position > 0 {
			withLog++
		}
	}
	after := missingAfter
	if v.Term == 0 {
		after = neverSeenAfter
		// A member without a log among others that have one has lost it, and
		// may have confirmed commits that the others lack.
		if withLog > 0 {
			answering = withLog
		}
	}
	if answering < 2 || v.MissingSince.IsZero() || now.Sub(v.MissingSince) < after {
		return CauseNone
	}
	return CauseMissing
}

// Candidate picks the replica with the most advanced log for promotion. Among
// equal logs it prefers a replica that isn't leaving. It returns false if the
// list is empty.
func Candidate(list []Paused) (Paused, bool) {
	var best Paused
	found := false
	for _, p := range list {
		if !found || preferred(p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// CoversDeparted reports whether some replica has received everything that a
// replica which has left may have confirmed.
func CoversDeparted(v blackboard.ClusterView) bool {
	for id, o := range v.Members {
		if id != v.Primary && o.Answers() && o.Status.Received.Covers(v.DepartedMark) {
			return true
		}
	}
	return false
}

// Paused is a paused replica and what it reported when it was paused.
type Paused struct {
	Upstream chervilladder.UpstreamID
	Received chervilladder.Mark
	Leaving  bool
}

func preferred(a, b Paused) bool {
	if a.Received != b.Received {
		return a.Received.Covers(b.Received)
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Upstream < b.Upstream
}
