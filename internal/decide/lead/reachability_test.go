package lead_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// unreachable makes members leave three status requests unanswered since a time.
func unreachable(v blackboard.ClusterView, sinceMS int, ids ...chervilladder.UpstreamID) blackboard.ClusterView {
	for _, id := range ids {
		o := v.Members[id]
		o.FailingSince, o.Failures = at(sinceMS), 3
		v.Members[id] = o
		if id == v.Primary {
			v.UnreachedSince = o.FailingSince
		}
	}
	return v
}

// peerReport is a peer's report that it reaches p in a term.
func peerReport(atMS int, term chervilladder.Term) blackboard.PeerReport {
	return blackboard.PeerReport{By: "peer", Reached: chervilladder.PrimaryTerm{Primary: "p", Term: term}, RequestedAt: at(atMS)}
}

func TestPrimaryUnreachable(t *testing.T) {
	const now = 10000
	two := func() blackboard.ClusterView { return view(replica(now, 3, 0), replica(now, 3, 0)) }
	unknown := unreachable(two(), now-700, "p", "a", "b")
	unknown.Primary, unknown.UnreachedSince = "", at(now-700)
	missing := func(sinceMS int) blackboard.ClusterView {
		v := two()
		delete(v.Members, "p")
		v.Primary, v.UnreachedSince = "", at(sinceMS)
		return v
	}
	unconfirmed := unreachable(two(), now-700, "a", "b")
	unconfirmed.Confirmations = 0
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		want bool
	}{
		"healthy":                       {two(), false},
		"one replica":                   {unreachable(two(), now-9000, "a"), false},
		"both for a short time":         {unreachable(two(), now-300, "a", "b"), false},
		"both replicas":                 {unreachable(two(), now-700, "a", "b"), true},
		"both, no confirmation needed":  {unconfirmed, false},
		"the primary, failover running": {unreachable(two(), now-2900, "p"), false},
		"the primary, failover overdue": {unreachable(two(), now-3100, "p"), true},
		"all":                           {unreachable(two(), now-700, "p", "a", "b"), true},
		"no primary is known":           {unknown, false},
		"no primary for a short time":   {missing(now - 2900), false},
		"no primary":                    {missing(now - 3100), true},
		"there are no replicas":         {view(), false},
	} {
		if got := lead.PrimaryUnreachable(c.view, blackboard.PeerReport{}, at(now)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A VM that doesn't reach the primary forwards work to a peer that does, if the
// peer's report is recent and its primary isn't outdated. It doesn't replace the
// primary then.
func TestForwardTo(t *testing.T) {
	const now = 10000
	two := func() blackboard.ClusterView { return view(replica(now, 3, 0), replica(now, 3, 0)) }
	unknown := two()
	unknown.Primary, unknown.MissingSince = "", at(now-9000)
	delete(unknown.Members, "p")
	for name, c := range map[string]struct {
		view   blackboard.ClusterView
		report blackboard.PeerReport
		peer   chervilladder.VMID
		want   lead.Cause
	}{
		"healthy":                       {two(), peerReport(now-100, 3), "", lead.CauseNone},
		"the primary is unreachable":    {unreachable(two(), now-700, "p"), peerReport(now-100, 3), "peer", lead.CauseNone},
		"the peer reaches a successor":  {unreachable(two(), now-700, "p"), peerReport(now-100, 4), "peer", lead.CauseNone},
		"no peer reaches it":            {unreachable(two(), now-700, "p"), blackboard.PeerReport{}, "", lead.CauseDead},
		"an expired report":             {unreachable(two(), now-2000, "p"), peerReport(now-900, 3), "", lead.CauseDead},
		"a report of an older primary":  {unreachable(two(), now-700, "p"), peerReport(now-100, 2), "", lead.CauseDead},
		"no replica is reachable":       {unreachable(two(), now-700, "a", "b"), peerReport(now-100, 3), "peer", lead.CauseNone},
		"one replica is unreachable":    {unreachable(two(), now-700, "a"), peerReport(now-100, 3), "", lead.CauseNone},
		"no primary is known":           {unknown, peerReport(now-100, 3), "peer", lead.CauseNone},
		"no primary is known to any VM": {unknown, blackboard.PeerReport{}, "", lead.CauseMissing},
	} {
		if got := lead.ForwardTo(c.view, c.report, at(now)); got != c.peer {
			t.Errorf("%s: forwarded to %q", name, got)
		}
		if got := lead.PrimaryUnreachable(c.view, c.report, at(now)); c.peer != "" && !got {
			t.Errorf("%s: not out of reach", name)
		}
		if got := lead.Assess(c.view, c.report, at(now)); got != c.want {
			t.Errorf("%s: cause %q", name, got)
		}
	}
}

// A VM reports to a peer only a primary that has answered a status request since the
// peer's request, and whose last commit has reached a replica.
func TestReachablePrimary(t *testing.T) {
	const now = 10000
	since := at(now - 50)
	polled := func(editPrimary func(*blackboard.MemberObservation)) blackboard.ClusterView {
		v := view(replica(now-20, 3, 0), replica(now-20, 3, 0))
		o := v.Members["p"]
		o.RequestedAt = at(now - 20)
		if editPrimary != nil {
			editPrimary(&o)
		}
		v.Members["p"] = o
		return v
	}
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		want bool
	}{
		"reachable":            {polled(nil), true},
		"polled before":        {polled(func(o *blackboard.MemberObservation) { o.RequestedAt = at(now - 60) }), false},
		"unreachable":          {unreachable(polled(nil), now-100, "p"), false},
		"no replica reachable": {unreachable(polled(nil), now-100, "a", "b"), false},
		"commit not received":  {polled(func(o *blackboard.MemberObservation) { o.StalledSince = at(now - 30) }), false},
		"leaving":              {polled(func(o *blackboard.MemberObservation) { o.DrainingSince = at(now - 900) }), true},
		"no primary known":     {blackboard.ClusterView{}, false},
		"failover unfinished":  {edit(polled(nil), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 4, at(now-2100) }), false},
	} {
		primary, got := lead.ReachablePrimary(c.view, since, at(now))
		if got != c.want || got && primary != (chervilladder.PrimaryTerm{Primary: "p", Term: 3}) {
			t.Errorf("%s: %v, %v", name, primary, got)
		}
	}
	is := is.New(t)
	is.True(!lead.ShouldQueryPeers(blackboard.ClusterView{})) // peers aren't asked about an unknown service
}
