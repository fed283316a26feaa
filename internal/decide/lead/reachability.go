package lead

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// failoverWithin is the longest that an unobstructed failover takes, from the first
// status request that the old primary left unanswered: unreachableAfter,
// PauseBeforePromotion, and the order and observation of the promotion. A VM that has
// reached no primary for that long would have observed the new one if it could reach
// it.
const failoverWithin = 3 * time.Second

// reportValidFor is how long a peer's report is valid. Peers are polled several
// times within it.
const reportValidFor = 800 * time.Millisecond

// PrimaryUnreachable reports whether this VM can't run work that needs the primary:
// it reaches none of the replicas that must confirm commits and prove the term, or a
// peer reaches the primary in its place, or it has reached no primary for so long
// that a failover would have been observed.
func PrimaryUnreachable(v blackboard.ClusterView, report blackboard.PeerReport, now time.Time) bool {
	if ForwardTo(v, report, now) != "" {
		return true
	}
	p, known := v.Members[v.Primary]
	if (!known || unreachable(p, now)) && !v.UnreachedSince.IsZero() && now.Sub(v.UnreachedSince) >= failoverWithin {
		return true
	}
	if !known {
		return false
	}
	return len(v.Members) > 1 && v.Confirmations > 0 && allReplicas(v, func(o blackboard.MemberObservation) bool { return unreachable(o, now) })
}

// ShouldQueryPeers reports whether this VM may be unable to reach the primary of a
// cluster or all of its replicas, so that it should ask peers whether they reach
// them.
func ShouldQueryPeers(v blackboard.ClusterView) bool {
	if len(v.Members) == 0 {
		return false
	}
	p, known := v.Members[v.Primary]
	if !known || !p.Answers() {
		return true
	}
	return len(v.Members) > 1 && v.Confirmations > 0 && allReplicas(v, func(o blackboard.MemberObservation) bool { return !o.Answers() })
}

// ForwardTo returns the peer to forward a cluster's work to, if this VM can't reach
// the primary or the replicas and the peer can; empty if there is none. The term of
// the peer's primary must be no lower than the highest one that this VM has
// observed.
func ForwardTo(v blackboard.ClusterView, report blackboard.PeerReport, now time.Time) chervilladder.VMID {
	if report.By == "" || now.Sub(report.RequestedAt) > reportValidFor || report.Reached.Term < v.Term || !ShouldQueryPeers(v) {
		return ""
	}
	return report.By
}

// ReachablePrimary returns the primary of a cluster if this VM can run work there,
// judged by a status requested at a point in time or later. It returns false for a
// primary whose last commit isn't known to have reached a replica, and for one that
// this VM would replace.
func ReachablePrimary(v blackboard.ClusterView, since, now time.Time) (chervilladder.PrimaryTerm, bool) {
	p, known := v.Members[v.Primary]
	if !known || ShouldQueryPeers(v) || p.RequestedAt.Before(since) || !p.StalledSince.IsZero() {
		return chervilladder.PrimaryTerm{}, false
	}
	switch Assess(v, blackboard.PeerReport{}, now) {
	case CauseNone, CauseLeaving, CauseLagging, CauseLeftPaused, CauseOutdated:
		return chervilladder.PrimaryTerm{Primary: v.Primary, Term: v.Term}, true
	default:
		return chervilladder.PrimaryTerm{}, false
	}
}

// allReplicas reports whether all members other than the primary satisfy a
// condition.
func allReplicas(v blackboard.ClusterView, satisfies func(blackboard.MemberObservation) bool) bool {
	for id, o := range v.Members {
		if id != v.Primary && !satisfies(o) {
			return false
		}
	}
	return true
}

// Lost reports whether a member is gone, or has left enough status requests unanswered for
// long enough.
func Lost(v blackboard.ClusterView, id chervilladder.UpstreamID, now time.Time) bool {
	o, known := v.Members[id]
	return !known || unreachable(o, now)
}

// unreachable reports whether a member has left enough status requests unanswered
// for long enough.
func unreachable(o blackboard.MemberObservation, now time.Time) bool {
	return o.Failures >= unreachableFailures && now.Sub(o.FailingSince) >= unreachableAfter
}
