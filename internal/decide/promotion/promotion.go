// Package promotion decides when the primary of a group is to be replaced, and
// by which member. It is for databases with an owner (blackboard.Group). For
// replicated services without an owner, see package lead.
package promotion

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// Config holds the times that a verdict depends on.
type Config struct {
	// SuspectAfter is how long a primary must have failed to answer on new
	// connections, and how long its replicas must have had no contact with it.
	SuspectAfter time.Duration
	// FreshFor is the greatest age at which a replica's status counts.
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
	// CauseLeaving means that the primary works but is draining.
	CauseLeaving Cause = "leaving"
)

// Assess judges the primary of a group by the members' last statuses. A primary
// is replaced only if a majority of the group, or all of its replicas, report
// that they have no contact with it. A slow primary, or a failed connection to
// a working one, is no cause.
func Assess(c Config, g blackboard.Group, now time.Time) Cause {
	disconnected := disconnectedReplicas(c, g, now)
	if disconnected < proof.Majority(g.Size) && disconnected < g.Size-1 {
		return CauseNone
	}
	p, known := g.Members[g.Primary]
	switch {
	case g.Primary == "":
		return assessMissing(g, disconnected)
	case !known:
		return CauseNone
	case p.Err != nil && now.Sub(p.FailingSince) >= c.SuspectAfter:
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

// assessMissing judges a group whose primary is not known. A group that has
// never been in a term opens its first one without a promotion.
func assessMissing(g blackboard.Group, disconnected int) Cause {
	if disconnected < proof.Majority(g.Size) {
		return CauseNone
	}
	for _, v := range g.Members {
		if v.Status.Term > 0 {
			return CauseMissing
		}
	}
	return CauseNone
}

// disconnectedReplicas counts the replicas that answer this VM and have had no
// contact with the primary for SuspectAfter. A primary that has stepped down
// counts as a replica.
func disconnectedReplicas(c Config, g blackboard.Group, now time.Time) int {
	n := 0
	for id, v := range g.Members {
		if v.Err != nil || now.Sub(v.RequestedAt) > c.FreshFor {
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
// It returns false if they are not a majority.
//
// A majority holds each confirmed write, so the most advanced log of any
// majority holds it too. The old primary is passed over if a replica is certain
// to hold all confirmed writes: either so many replicas accepted that one of
// them must hold each confirmed write, or a replica's log is as advanced as the
// old primary's.
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

// moreAdvanced orders logs by their term, then by length.
func moreAdvanced(a, b chervilladder.MemberStatus) bool {
	if a.LogTerm != b.LogTerm {
		return a.LogTerm > b.LogTerm
	}
	if a.Received != b.Received {
		return a.Received > b.Received
	}
	return a.Replayed > b.Replayed
}
