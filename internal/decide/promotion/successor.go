package promotion

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// Staying holds the members that aren't leaving.
type Staying map[chervilladder.UpstreamID]bool

// CaughtUp returns the position up to which the primary of a group and a
// staying replica hold the same log, by statuses of a given poll or later. It returns
// false while no such replica has received the primary's whole log.
func CaughtUp(g blackboard.Group, staying Staying, poll blackboard.PollNumber) (chervilladder.Position, bool) {
	p := g.Members[g.Primary]
	if p.Poll < poll || p.Err != nil {
		return 0, false
	}
	for id, v := range g.Members {
		if id == g.Primary || !staying[id] || v.Err != nil || v.Poll < poll {
			continue
		}
		if v.Status.LogTerm == g.Term && v.Status.Received >= p.Status.Received {
			return p.Status.Received, true
		}
	}
	return 0, false
}

// Successor picks the member to promote in place of a primary that works but
// is draining. It prefers a staying member whose log is as advanced as any
// among the members that accepted the ballot. Without one it picks the member
// with the most advanced log, so that nothing is lost. It returns false if the
// members are not a majority.
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

// behind reports whether a's log lacks something that b's holds.
func behind(a, b chervilladder.MemberStatus) bool {
	return a.LogTerm < b.LogTerm || a.LogTerm == b.LogTerm && a.Received < b.Received
}
