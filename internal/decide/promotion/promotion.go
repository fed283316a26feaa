// Package promotion decides when a primary is to be replaced, and by which
// member.
package promotion

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// Config holds the times that a verdict depends on.
type Config struct {
	// SuspectAfter is how long a primary must have failed to answer fresh
	// connections, and its replicas must not have heard from it.
	SuspectAfter time.Duration
	// FreshFor is how old a replica's status may be to count.
	FreshFor time.Duration
}

// Cause says why a primary is to be replaced.
type Cause string

// The causes. The empty cause means that the primary stays.
const (
	CauseNone        Cause = ""
	CauseDead        Cause = "dead"
	CauseCutOff      Cause = "cut-off"
	CauseSteppedDown Cause = "stepped-down"
	// CauseMissing means that no member is known as the primary, as it is
	// to a VM that became owner after the primary had failed.
	CauseMissing Cause = "missing"
	// CauseLeaving means that the primary works but has to leave.
	CauseLeaving Cause = "leaving"
)

// Assess judges the primary of a group from the evidence at a time. A primary
// is replaced only if a majority of the group can vouch for it: a slow
// primary, or a lost flow to a live one, is no cause.
func Assess(c Config, g blackboard.Group, now time.Time) Cause {
	silent := silentReplicas(c, g, now)
	if silent < proof.Majority(g.Size) && silent < g.Size-1 {
		return CauseNone
	}
	p, known := g.Members[g.Primary]
	switch {
	case g.Primary == "":
		return assessMissing(g, silent)
	case !known:
		return CauseNone
	case p.Err != nil && now.Sub(p.Failing) >= c.SuspectAfter:
		return CauseDead
	case p.Err != nil:
		return CauseNone
	case p.Status.Role != chervilladder.RolePrimary:
		return CauseSteppedDown
	case p.ContactAge(now) >= c.SuspectAfter:
		return CauseCutOff
	default:
		return CauseNone
	}
}

// assessMissing judges a group whose primary is not known. One that has never
// been in a term is about to open its first by itself.
func assessMissing(g blackboard.Group, silent int) Cause {
	if silent < proof.Majority(g.Size) {
		return CauseNone
	}
	for _, v := range g.Members {
		if v.Status.Term > 0 {
			return CauseMissing
		}
	}
	return CauseNone
}

// silentReplicas counts the replicas that answer us and have not heard from
// the primary for the suspicion time. A primary that has stepped down is one.
func silentReplicas(c Config, g blackboard.Group, now time.Time) int {
	n := 0
	for id, v := range g.Members {
		if v.Err != nil || now.Sub(v.Asked) > c.FreshFor {
			continue
		}
		if id == g.Primary && v.Status.Role == chervilladder.RolePrimary {
			continue
		}
		if v.ContactAge(now) >= c.SuspectAfter {
			n++
		}
	}
	return n
}

// Candidate picks the member to promote among those that accepted the ballot.
// It returns false while they are no majority.
//
// A confirmed write is held by a majority, so the most advanced log of any
// other majority holds it. The old primary is passed over where a replica is
// sure to hold all confirmed writes: as many accepted as one of them must, or
// one is as advanced as the old primary itself.
func Candidate(size int, old chervilladder.UpstreamID, accepted []chervilladder.MemberStatus) (chervilladder.UpstreamID, bool) {
	if len(accepted) < proof.Majority(size) {
		return "", false
	}
	var best, former *chervilladder.MemberStatus
	replicas := 0
	for i := range accepted {
		s := &accepted[i]
		if s.Upstream == old {
			former = s
			continue
		}
		replicas++
		if best == nil || moreAdvanced(*s, *best) {
			best = s
		}
	}
	enough := replicas >= size-proof.Majority(size)+1
	if best == nil || !enough && moreAdvanced(*former, *best) {
		return former.Upstream, true
	}
	return best.Upstream, true
}

// moreAdvanced orders logs by the term that they agree with, then by length.
func moreAdvanced(a, b chervilladder.MemberStatus) bool {
	if a.LogTerm != b.LogTerm {
		return a.LogTerm > b.LogTerm
	}
	if a.Received != b.Received {
		return a.Received > b.Received
	}
	return a.Replayed > b.Replayed
}
