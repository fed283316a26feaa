// Package route decides which members of a group may serve a read.
package route

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// MayRead reports whether a replica has replayed everything that a session
// has observed.
func MayRead(g blackboard.Group, floor blackboard.Floor, replica chervilladder.UpstreamID) bool {
	v, ok := g.Members[replica]
	if !ok || v.Err != nil || v.Status.Role != chervilladder.RoleReplica {
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
