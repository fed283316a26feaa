package lead

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// replacedWithin is how long a replacement takes at most, from the first question
// that the old primary left without an answer, unless something stands in its way.
const replacedWithin = 3 * time.Second

// testimonyLasts is how long a peer's word holds. It is asked for anew several times
// in between.
const testimonyLasts = 800 * time.Millisecond

// OutOfReach reports whether this VM can have nothing run that needs the primary:
// it reaches none of the replicas that must confirm and prove, or a peer reaches the
// primary instead, or it has seen none for so long that a replacement would have shown.
func OutOfReach(v blackboard.ClusterView, told blackboard.Testimony, now time.Time) bool {
	if Detour(v, told, now) != "" {
		return true
	}
	p, known := v.Members[v.Primary]
	if (!known || lost(p, now)) && !v.UnreachedSince.IsZero() && now.Sub(v.UnreachedSince) >= replacedWithin {
		return true
	}
	if !known {
		return false
	}
	return len(v.Members) > 1 && v.Confirmations > 0 && allReplicas(v, func(s blackboard.Sighting) bool { return lost(s, now) })
}

// Suspect reports whether this VM may have lost its way to the primary of a cluster,
// or to all of its replicas, so that peers are worth asking.
func Suspect(v blackboard.ClusterView) bool {
	if len(v.Members) == 0 {
		return false
	}
	p, known := v.Members[v.Primary]
	if !known || !p.Answers() {
		return true
	}
	return len(v.Members) > 1 && v.Confirmations > 0 && allReplicas(v, func(s blackboard.Sighting) bool { return !s.Answers() })
}

// Detour returns the peer to pass a cluster's work to, if this VM has lost its way to
// the primary or the replicas and the peer has not; empty if there is none. The peer's
// primary must be no older one than this VM has seen.
func Detour(v blackboard.ClusterView, told blackboard.Testimony, now time.Time) chervilladder.VMID {
	if told.By == "" || now.Sub(told.At) > testimonyLasts || told.Led.Term < v.Term || !Suspect(v) {
		return ""
	}
	return told.By
}

// Reached returns the primary of a cluster if this VM can have work run there, by
// answers to questions that were asked after a moment. A primary whose last commit
// no replica is known to have, or that this VM would replace, is none.
func Reached(v blackboard.ClusterView, moment, now time.Time) (chervilladder.Led, bool) {
	p, known := v.Members[v.Primary]
	if !known || Suspect(v) || p.Asked.Before(moment) || !p.StalledSince.IsZero() {
		return chervilladder.Led{}, false
	}
	switch Assess(v, blackboard.Testimony{}, now) {
	case CauseNone, CauseLeaving, CauseLagging, CauseForgotten, CauseOutdated:
		return chervilladder.Led{Primary: v.Primary, Term: v.Term}, true
	default:
		return chervilladder.Led{}, false
	}
}

// allReplicas reports whether something holds of all members but the primary.
func allReplicas(v blackboard.ClusterView, holds func(blackboard.Sighting) bool) bool {
	for id, s := range v.Members {
		if id != v.Primary && !holds(s) {
			return false
		}
	}
	return true
}

// lost reports whether a member has left enough questions without an answer for
// long enough.
func lost(s blackboard.Sighting, now time.Time) bool {
	return s.Failures >= deadFailures && now.Sub(s.FailingSince) >= deadAfter
}
