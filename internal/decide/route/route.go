// Package route decides which members of a group may serve a read.
package route

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
)

// MayRead reports whether a replica has replayed everything that a session has
// observed. No replica may serve such a read in a group that isn't open: before
// this VM has a claim, it doesn't know what sessions observed at the previous
// owner. Taking the claim sets a minimum position that covers it.
func MayRead(g blackboard.Group, minimum blackboard.MinimumPosition, replica chervilladder.UpstreamID) bool {
	v, ok := g.Members[replica]
	if !ok || !g.Open() || v.Err != nil || v.Status.Role != chervilladder.RoleReplica {
		return false
	}
	replayed := Replayed(v.Status)
	if !replayed.Covers(minimum.Written) {
		return false
	}
	if minimum.UnknownWritePoll != 0 && !coversUnknownWrite(g, minimum, replayed) {
		return false
	}
	if minimum.ReadPoll == 0 || minimum.Replica == replica {
		return true
	}
	return coversObserved(g, minimum, replayed)
}

// Aged holds what decides a read that accepts data up to an age.
type Aged struct {
	Accepted time.Duration
	History  freshness.History
	Now      time.Time
}

// MayReadAged reports whether a replica may serve a read that accepts data up to
// an age. The replica must have replayed the session's own writes, but not what
// the session read before. The status and sample that prove this are no older
// than the accepted age. Unlike MayRead it needs no claim, so the group needn't be
// open.
func MayReadAged(g blackboard.Group, minimum blackboard.MinimumPosition, replica chervilladder.UpstreamID, a Aged) bool {
	v := g.Members[replica]
	if v.Err != nil || v.Status.Role != chervilladder.RoleReplica || a.Now.Sub(v.RequestedAt) > a.Accepted {
		return false
	}
	replayed := Replayed(v.Status)
	age, known := a.History.Age(replayed, a.Now)
	if !known || age > a.Accepted {
		return false
	}
	if minimum.UnknownWritePoll != 0 && !coversUnknownWrite(g, minimum, replayed) {
		return false
	}
	return replayed.Covers(minimum.Written)
}

// WithoutPrimary reports whether a group can't prove its term because its
// primary is not known, not claimed or doesn't answer.
func WithoutPrimary(g blackboard.Group) bool {
	return !g.Open() || g.Members[g.Primary].Err != nil
}

// Replayed returns the mark up to which a member has replayed its log.
func Replayed(s chervilladder.MemberStatus) chervilladder.Mark {
	return chervilladder.Mark{Term: s.LogTerm, Position: s.Replayed}
}

// coversUnknownWrite reports whether a mark covers the session's writes of
// unknown outcome, in case they were done.
func coversUnknownWrite(g blackboard.Group, minimum blackboard.MinimumPosition, replayed chervilladder.Mark) bool {
	v := g.Members[g.Primary]
	if v.Status.Role != chervilladder.RolePrimary || v.Status.Term != g.Term {
		// The status was reported before the member was promoted.
		return false
	}
	return v.Poll >= minimum.UnknownWritePoll && replayed.Covers(chervilladder.Mark{Term: g.Term, Position: v.Status.Received})
}

// coversObserved reports whether a mark covers what the session may have
// observed on the replicas that it read from.
func coversObserved(g blackboard.Group, minimum blackboard.MinimumPosition, replayed chervilladder.Mark) bool {
	for id, v := range g.Members {
		if minimum.Replica != "" && minimum.Replica != id {
			continue
		}
		if id == g.Primary {
			continue
		}
		if v.Poll < minimum.ReadPoll || !replayed.Covers(Replayed(v.Status)) {
			return false
		}
	}
	return true
}
