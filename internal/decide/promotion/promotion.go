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

// silentReplicas counts the replicas that answer us and have not heard from
// the primary for the suspicion time.
func silentReplicas(c Config, g blackboard.Group, now time.Time) int {
	n := 0
	for id, v := range g.Members {
		if id == g.Primary || v.Err != nil || now.Sub(v.Asked) > c.FreshFor {
			continue
		}
		if v.ContactAge(now) >= c.SuspectAfter {
			n++
		}
	}
	return n
}

// Candidate picks the member to promote among those that accepted the ballot.
// It returns false while promoting could lose a write that a replica had
// confirmed: too few replicas accepted to be sure that one of them holds it.
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
	if best == nil {
		return "", false
	}
	enough := replicas >= size-proof.Majority(size)+1
	caughtUp := former != nil && !moreAdvanced(*former, *best)
	return best.Upstream, enough || caughtUp
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
