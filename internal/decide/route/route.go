// Package route decides which members of a group may serve a read.
package route

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
)

// MayRead reports whether a replica has replayed everything that a session
// has observed. In a group that isn't open none may serve: what sessions
// observed at another owner is known once the claim is taken.
func MayRead(g blackboard.Group, floor blackboard.Floor, replica chervilladder.UpstreamID) bool {
	v, ok := g.Members[replica]
	if !ok || !g.Open() || v.Err != nil || v.Status.Role != chervilladder.RoleReplica {
		return false
	}
	replayed := Replayed(v.Status)
	if !replayed.Covers(floor.Written) {
		return false
	}
	if floor.Unsure != 0 && !coversUnsure(g, floor, replayed) {
		return false
	}
	if floor.Tick == 0 || floor.Replica == replica {
		return true
	}
	return coversObserved(g, floor, replayed)
}

// Aged is what a read of a stated age depends on.
type Aged struct {
	Accepted time.Duration
	History  freshness.History
	Now      time.Time
}

// MayReadAged reports whether a replica may serve a read that accepts data of
// an age. It holds to the session's own writes, but not to what the session
// read before. All that it relies on is no older than the accepted age.
func MayReadAged(g blackboard.Group, floor blackboard.Floor, replica chervilladder.UpstreamID, a Aged) bool {
	v := g.Members[replica]
	if v.Err != nil || v.Status.Role != chervilladder.RoleReplica || a.Now.Sub(v.Asked) > a.Accepted {
		return false
	}
	replayed := Replayed(v.Status)
	age, known := a.History.Age(replayed, a.Now)
	if !known || age > a.Accepted {
		return false
	}
	if floor.Unsure != 0 && !coversUnsure(g, floor, replayed) {
		return false
	}
	return replayed.Covers(floor.Written)
}

// WithoutPrimary reports whether a group can't prove its term, since its
// primary is not known, not claimed or does not answer.
func WithoutPrimary(g blackboard.Group) bool {
	return !g.Open() || g.Members[g.Primary].Err != nil
}

// Replayed returns the mark up to which a member's log is replayed.
func Replayed(s chervilladder.MemberStatus) chervilladder.Mark {
	return chervilladder.Mark{Term: s.LogTerm, Position: s.Replayed}
}

// coversUnsure reports whether a mark covers a write of unknown outcome, if it
// was done.
func coversUnsure(g blackboard.Group, floor blackboard.Floor, replayed chervilladder.Mark) bool {
	v := g.Members[g.Primary]
	if v.Status.Role != chervilladder.RolePrimary || v.Status.Term != g.Term {
		// The status is from before the member was promoted.
		return false
	}
	return v.Tick >= floor.Unsure && replayed.Covers(chervilladder.Mark{Term: g.Term, Position: v.Status.Received})
}

// coversObserved reports whether a mark covers what the session may have seen
// on the replicas that it read from.
func coversObserved(g blackboard.Group, floor blackboard.Floor, replayed chervilladder.Mark) bool {
	for id, v := range g.Members {
		if floor.Replica != "" && floor.Replica != id {
			continue
		}
		if id == g.Primary {
			continue
		}
		if v.Tick < floor.Tick || !replayed.Covers(Replayed(v.Status)) {
			return false
		}
	}
	return true
}
