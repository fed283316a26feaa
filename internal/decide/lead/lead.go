// Package lead decides which member of a cluster is the primary, how far a VM
// may rely on that, and when and by which member it is to be replaced.
package lead

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Lease is how long after a replica said that it follows the term of a primary
// that primary may be taken for the only one. Whoever replaces a primary lets
// Settle pass between the pause of its replicas and the order to promote; the
// promotion itself takes longer than what is missing to Lease.
const (
	Lease  = 700 * time.Millisecond
	Settle = 500 * time.Millisecond
)

// Primary returns the primary of the highest term among the members' answers,
// or what the view held before if none is higher.
func Primary(v blackboard.ClusterView) (chervilladder.UpstreamID, chervilladder.Term) {
	id, term := v.Primary, v.Term
	if _, known := v.Members[id]; !known {
		id = ""
	}
	for member, s := range v.Members {
		if s.Asked.IsZero() || !s.Status.Primary {
			continue
		}
		if s.Status.Term > term || s.Status.Term == term && id == "" {
			id, term = member, s.Status.Term
		}
	}
	if id == "" {
		return "", term
	}
	if s := v.Members[id]; !s.Status.Primary && s.Answers() {
		return "", term // it has stepped down
	}
	return id, term
}

// Proven reports whether the view's primary is certain to have been the only
// one that acknowledged commits before a moment. A new primary acknowledges
// nothing until as many other replicas as must confirm follow its term, so the
// word of all other replicas, asked after the moment, rules it out. So does
// the word of all replicas asked within a lease before it, since those that
// don't take over are paused for at least as long before a promotion.
func Proven(v blackboard.ClusterView, moment time.Time) bool {
	if v.Primary == "" {
		return false
	}
	replicas, after, leased := 0, 0, 0
	for id, s := range v.Members {
		if id == v.Primary {
			continue
		}
		replicas++
		if !follows(s, v.Term) {
			continue
		}
		if !s.Asked.Before(moment) {
			after++
		}
		if s.Asked.After(moment.Add(-Lease)) {
			leased++
		}
	}
	if replicas == 0 {
		return false
	}
	return leased == replicas || after >= max(1, replicas-v.Confirmations)
}

// follows reports whether a member's last answer was that of a replica of a
// term, paused for no later one.
func follows(s blackboard.Sighting, term chervilladder.Term) bool {
	return !s.Asked.IsZero() && !s.Status.Primary && s.Status.Term == term && s.Status.Held <= term
}

// Cause says why a primary is to be replaced.
type Cause string

// The causes. The empty cause means that the primary stays.
const (
	CauseNone Cause = ""
	// CauseDead is a primary that does not answer on fresh connections.
	CauseDead Cause = "dead"
	// CauseMissing is a cluster whose members all say they are replicas.
	CauseMissing Cause = "missing"
	// CauseCutOff is a primary whose commits reach no replica.
	CauseCutOff Cause = "cut-off"
	// CauseLeaving is a primary that works and has to leave.
	CauseLeaving Cause = "leaving"
	// CauseLagging is a primary that turns work away while all replicas are too
	// far behind to take any. Whoever takes over is up to date, and so is the old
	// primary as a replica.
	CauseLagging Cause = "lagging"
	// CauseUnfinished is a replacement that somebody began and left.
	CauseUnfinished Cause = "unfinished"
	// CauseForgotten is a replica that is still paused for a replacement
	// that has taken place. The primary stays; the replica is resumed.
	CauseForgotten Cause = "forgotten"
	// CauseOutdated is a member that still takes itself for the primary of
	// an earlier term. The primary stays; the member is made a replica.
	CauseOutdated Cause = "outdated"
)

// Planned reports whether the old primary goes on until its successor leads.
func (c Cause) Planned() bool { return c == CauseLeaving }

// The times after which evidence ripens into a cause.
const (
	deadAfter       = 600 * time.Millisecond
	stalledAfter    = 1200 * time.Millisecond
	unfinishedAfter = 2 * time.Second
	forgottenAfter  = 400 * time.Millisecond
	laggingAfter    = time.Second
	// shedWithin is how lately work must have been turned away for it to count.
	shedWithin = 2 * time.Second
	// missingAfter is longer than an order to promote takes to show: the old
	// primary steps down before its successor is ordered.
	missingAfter = 2500 * time.Millisecond
	// unknownAfter is the same for a VM that has seen no primary yet. Entries of
	// upstreams that lapsed are back sooner, that of the primary among them.
	unknownAfter = 5 * time.Second
	// deadFailures is how many questions in a row a dead primary has left
	// without an answer, all but the first on fresh connections.
	deadFailures = 3
)

// Assess judges the primary of a cluster. A cluster without a replica that
// answers keeps its primary: nothing can be promoted. So does one whose primary a
// peer reaches: work is passed to that peer.
func Assess(v blackboard.ClusterView, told blackboard.Testimony, now time.Time) Cause {
	if !anyReplica(v) {
		return CauseNone
	}
	p, known := v.Members[v.Primary]
	reached := Detour(v, told, now) != ""
	switch {
	case !known && reached:
		return CauseNone
	case !known:
		return assessMissing(v, now)
	case lost(p, now) && reached:
		return CauseNone
	case lost(p, now):
		return CauseDead
	}
	// A replica that is paused confirms nothing, which is no sign that the
	// primary is cut off.
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

// lagging reports whether the primary alone can take work, and is not enough. Without
// confirmations a change of primary may lose commits, so it is not worth it.
func lagging(v blackboard.ClusterView, now time.Time) bool {
	return v.Confirmations > 0 && !v.LaggingSince.IsZero() &&
		now.Sub(v.LaggingSince) >= laggingAfter && now.Sub(v.Shed) <= shedWithin
}

// Outdated returns the members that answer as primaries of earlier terms.
func Outdated(v blackboard.ClusterView) []chervilladder.UpstreamID {
	var list []chervilladder.UpstreamID
	for id, s := range v.Members {
		if id != v.Primary && s.Answers() && s.Status.Primary && s.Status.Term < v.Term {
			list = append(list, id)
		}
	}
	return list
}

// assessPaused judges a cluster by its paused replicas. One that was paused for a
// replacement that has taken place goes on only while the primary is in sight and
// no older one is: the order to go on names no term, and the replica would follow
// whichever primary it reaches.
func assessPaused(v blackboard.ClusterView, now time.Time) Cause {
	cause := CauseNone
	for _, s := range v.Members {
		switch held := now.Sub(s.HeldSince); {
		case s.HeldSince.IsZero() || !s.Answers():
		case s.Status.Held > v.Term && held >= unfinishedAfter:
			return CauseUnfinished
		case s.Status.Held <= v.Term && held >= forgottenAfter && v.Members[v.Primary].Answers() && len(Outdated(v)) == 0:
			cause = CauseForgotten
		}
	}
	return cause
}

// SeenSince reports whether all members that answer were asked after a moment.
func SeenSince(v blackboard.ClusterView, moment time.Time) bool {
	for _, s := range v.Members {
		if s.Answers() && s.Asked.Before(moment) {
			return false
		}
	}
	return true
}

// Forgotten returns the replicas that are paused for no later term than the
// primary's.
func Forgotten(v blackboard.ClusterView) []chervilladder.UpstreamID {
	var list []chervilladder.UpstreamID
	for id, s := range v.Members {
		if id != v.Primary && s.Status.Held != 0 && s.Status.Held <= v.Term {
			list = append(list, id)
		}
	}
	return list
}

func anyReplica(v blackboard.ClusterView) bool {
	for id, s := range v.Members {
		if id != v.Primary && s.Answers() && !s.Leaves() {
			return true
		}
	}
	return false
}

// assessMissing judges a cluster of which no member says that it leads. All
// must have been asked for long enough that a promotion would have shown, and have
// told their status since: one that is too busy to tell may be the primary.
func assessMissing(v blackboard.ClusterView, now time.Time) Cause {
	answering := 0
	for _, s := range v.Members {
		if s.Asked.IsZero() && s.Failures < deadFailures {
			return CauseNone // not asked yet
		}
		if s.Answers() {
			answering++
			if s.Asked.Before(v.MissingSince) {
				return CauseNone
			}
		}
	}
	after := missingAfter
	if v.Term == 0 {
		after = unknownAfter
	}
	if answering < 2 || v.MissingSince.IsZero() || now.Sub(v.MissingSince) < after {
		return CauseNone
	}
	return CauseMissing
}

// Candidate picks the replica to promote: the one whose log is the most
// advanced among those given, members that leave last. It returns false if
// there is none.
func Candidate(list []Paused) (Paused, bool) {
	var best Paused
	found := false
	for _, p := range list {
		if !found || better(p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// HoldsDeparted reports whether some replica has received all that a replica
// which is gone may have confirmed.
func HoldsDeparted(v blackboard.ClusterView) bool {
	for id, s := range v.Members {
		if id != v.Primary && s.Answers() && s.Status.Received.Covers(v.Departed) {
			return true
		}
	}
	return false
}

// Paused is a replica that was paused and what it said then.
type Paused struct {
	Upstream chervilladder.UpstreamID
	Received chervilladder.Mark
	Leaving  bool
}

func better(a, b Paused) bool {
	if a.Received != b.Received {
		return a.Received.Covers(b.Received)
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Upstream < b.Upstream
}
