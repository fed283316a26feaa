package promotion

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// Staying tells the members that aren't leaving.
type Staying map[chervilladder.UpstreamID]bool

// CaughtUp returns the position up to which the primary of a group and a
// staying replica hold the same log, by statuses asked for at a tick or later.
// It returns false while no such replica has received everything.
func CaughtUp(g blackboard.Group, staying Staying, t blackboard.Tick) (chervilladder.Position, bool) {
	p := g.Members[g.Primary]
	if p.Tick < t || p.Err != nil {
		return 0, false
	}
	for id, v := range g.Members {
		if id == g.Primary || !staying[id] || v.Err != nil || v.Tick < t {
			continue
		}
		if v.Status.LogTerm == g.Term && v.Status.Received >= p.Status.Received {
			return p.Status.Received, true
		}
	}
	return 0, false
}

// Successor picks the member to promote in place of a primary that works but
// has to leave. It is a staying member that holds everything that any member
// which accepted the ballot holds; without one it is the most advanced member,
// so that nothing is lost. It returns false while they are no majority.
func Successor(size int, staying Staying, accepted []chervilladder.MemberStatus) (chervilladder.UpstreamID, bool) {
	if len(accepted) < proof.Majority(size) {
		return "", false
	}
	best := accepted[0]
	for _, s := range accepted[1:] {
		if moreAdvanced(s, best) {
			best = s
		}
	}
	for _, s := range accepted {
		if staying[s.Upstream] && !behind(s, best) {
			return s.Upstream, true
		}
	}
	return best.Upstream, true
}

// behind reports whether a log lacks something that another one holds.
func behind(a, b chervilladder.MemberStatus) bool {
	return a.LogTerm < b.LogTerm || a.LogTerm == b.LogTerm && a.Received < b.Received
}
