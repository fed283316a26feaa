package lead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

var start = time.Unix(1000, 0)

// at returns the time that is some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func replica(requestedMS int, term, paused chervilladder.Term) blackboard.MemberObservation {
	return blackboard.MemberObservation{RequestedAt: at(requestedMS), Status: chervilladder.LinkStatus{Term: term, PauseTerm: paused}}
}

func primary(requestedMS int, term chervilladder.Term) blackboard.MemberObservation {
	return blackboard.MemberObservation{RequestedAt: at(requestedMS), Status: chervilladder.LinkStatus{Primary: true, Term: term}}
}

// view returns a cluster whose primary is p in term 3.
func view(replicas ...blackboard.MemberObservation) blackboard.ClusterView {
	v := blackboard.ClusterView{Primary: "p", Term: 3, Confirmations: 1, Members: map[chervilladder.UpstreamID]blackboard.MemberObservation{"p": primary(0, 3)}}
	for i, r := range replicas {
		v.Members[chervilladder.UpstreamID(rune('a'+i))] = r
	}
	return v
}

// edit changes the observation of one member.
func edit(v blackboard.ClusterView, id chervilladder.UpstreamID, f func(*blackboard.MemberObservation)) blackboard.ClusterView {
	o := v.Members[id]
	f(&o)
	v.Members[id] = o
	return v
}

func TestProven(t *testing.T) {
	const before = 5000
	fresh, leased, old := before+1, before-500, before-800
	for name, c := range map[string]struct {
		view   blackboard.ClusterView
		proven bool
	}{
		"one of two replicas polled after":    {view(replica(fresh, 3, 0), replica(old, 3, 0)), true},
		"both within the lease":               {view(replica(leased, 3, 0), replica(leased, 3, 0)), true},
		"only one within the lease":           {view(replica(leased, 3, 0), replica(old, 3, 0)), false},
		"one paused for a later term":         {view(replica(leased, 3, 0), replica(leased, 3, 4)), false},
		"one follows a later term":            {view(replica(leased, 3, 0), replica(leased, 4, 0)), false},
		"the other polled after, one paused":  {view(replica(fresh, 3, 0), replica(fresh, 3, 4)), true},
		"both paused":                         {view(replica(fresh, 3, 4), replica(fresh, 3, 4)), false},
		"paused for the term that it follows": {view(replica(fresh, 3, 3), replica(fresh, 3, 3)), true},
		"no replica":                          {view(), false},
		"one of three polled after":           {view(replica(fresh, 3, 0), replica(old, 3, 0), replica(old, 3, 0)), false},
		"two of three polled after":           {view(replica(fresh, 3, 0), replica(fresh, 3, 0), replica(old, 3, 0)), true},
		"a second primary":                    {view(primary(fresh, 4), replica(old, 3, 0)), false},
		"never polled":                        {view(blackboard.MemberObservation{}, blackboard.MemberObservation{}), false},
		"exactly at the end of the lease":     {view(replica(before-700, 3, 0), replica(before-700, 3, 0)), false},
		"polled exactly then":                 {view(replica(before, 3, 0), replica(old, 3, 0)), true},
	} {
		if got := lead.Proven(c.view, at(before)); got != c.proven {
			t.Errorf("%s: proven %v", name, got)
		}
	}
	none := view(replica(fresh, 3, 0), replica(fresh, 3, 0))
	none.Primary = ""
	if lead.Proven(none, at(before)) {
		t.Error("proven without a primary")
	}
	unconfirmed := view(replica(fresh, 3, 0), replica(old, 3, 0))
	unconfirmed.Confirmations = 0
	if lead.Proven(unconfirmed, at(before)) {
		t.Error("proven, though the other replica may be a primary that needs no confirmation")
	}
}

func TestPrimaryIsThatOfTheHighestTerm(t *testing.T) {
	is := is.New(t)
	v := view(replica(0, 3, 0), primary(10, 4))
	id, term := lead.Primary(v)
	is.Equal(id, chervilladder.UpstreamID("b"))
	is.Equal(term, chervilladder.Term(4))

	// The primary of an earlier term answers again: the result stays.
	v.Primary, v.Term = id, term
	v.Members["p"] = primary(20, 3)
	id, _ = lead.Primary(v)
	is.Equal(id, chervilladder.UpstreamID("b"))

	// The primary steps down: there is none, and the term stays.
	v.Members["b"] = replica(30, 4, 0)
	id, term = lead.Primary(v)
	is.Equal(id, chervilladder.UpstreamID(""))
	is.Equal(term, chervilladder.Term(4))

	// The primary is removed from the cluster: there is none.
	delete(v.Members, "b")
	id, _ = lead.Primary(v)
	is.Equal(id, chervilladder.UpstreamID(""))
}

func TestAssess(t *testing.T) {
	const now = 10000
	failing := func(sinceMS, failures int) func(*blackboard.MemberObservation) {
		return func(o *blackboard.MemberObservation) { o.FailingSince, o.Failures = at(sinceMS), failures }
	}
	two := func() blackboard.ClusterView { return view(replica(now, 3, 0), replica(now, 3, 0)) }
	lagging := func(sinceMS, shedMS, confirmations int) blackboard.ClusterView {
		v := two()
		v.LaggingSince, v.LastShed, v.Confirmations = at(sinceMS), at(shedMS), confirmations
		return v
	}
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		want lead.Cause
	}{
		"healthy":                  {two(), lead.CauseNone},
		"dead":                     {edit(two(), "p", failing(now-700, 4)), lead.CauseDead},
		"one failed request":       {edit(two(), "p", failing(now-700, 1)), lead.CauseNone},
		"failing for a short time": {edit(two(), "p", failing(now-300, 4)), lead.CauseNone},
		"no member answers":        {edit(edit(edit(two(), "p", failing(now-700, 4)), "a", failing(now-700, 4)), "b", failing(now-700, 4)), lead.CauseNone},
		"stalled":                  {edit(two(), "p", func(o *blackboard.MemberObservation) { o.StalledSince = at(now - 1300) }), lead.CauseCutOff},
		"stalled for a short time": {edit(two(), "p", func(o *blackboard.MemberObservation) { o.StalledSince = at(now - 500) }), lead.CauseNone},
		"leaving":                  {edit(two(), "p", func(o *blackboard.MemberObservation) { o.DrainingSince = at(now - 1) }), lead.CauseLeaving},
		"all lag, work is shed":    {lagging(now-1100, now-500, 1), lead.CauseLagging},
		"all lag, no work is shed": {lagging(now-1100, now-2500, 1), lead.CauseNone},
		"all lag for a short time": {lagging(now-900, now-500, 1), lead.CauseNone},
		"all lag, none confirms":   {lagging(now-1100, now-500, 0), lead.CauseNone},
		"failover not completed":   {edit(two(), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 4, at(now-2100) }), lead.CauseUnfinished},
		"failover in progress":     {edit(two(), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 4, at(now-900) }), lead.CauseNone},
		"left paused":              {edit(two(), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 3, at(now-900) }), lead.CauseLeftPaused},
		"stalled by a paused one":  {edit(edit(two(), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 3, at(now-900) }), "p", func(o *blackboard.MemberObservation) { o.StalledSince = at(now - 1300) }), lead.CauseLeftPaused},
	} {
		if got := lead.Assess(c.view, blackboard.PeerReport{}, at(now)); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
	failedOnce := edit(edit(two(), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 3, at(now-900) }), "p", failing(now-100, 1))
	if got := lead.Assess(failedOnce, blackboard.PeerReport{}, at(now)); got != lead.CauseNone {
		t.Errorf("left paused, the primary doesn't answer: %q", got)
	}
	outdated := view(replica(now, 3, 0), primary(now, 2))
	if got := lead.Assess(outdated, blackboard.PeerReport{}, at(now)); got != lead.CauseOutdated {
		t.Errorf("an outdated primary: %q", got)
	}
	pausedBesideOutdated := edit(view(replica(now, 3, 0), primary(now, 2)), "a", func(o *blackboard.MemberObservation) { o.Status.PauseTerm, o.PausedSince = 3, at(now-900) })
	if got := lead.Assess(pausedBesideOutdated, blackboard.PeerReport{}, at(now)); got != lead.CauseOutdated {
		t.Errorf("left paused beside an outdated primary: %q", got)
	}
	missing := two()
	missing.Primary, missing.MissingSince = "", at(now-1500)
	missing.Members["p"] = replica(now, 3, 0)
	if got := lead.Assess(missing, blackboard.PeerReport{}, at(now)); got != lead.CauseNone {
		t.Errorf("no primary for a short time: %q", got)
	}
	missing.MissingSince = at(now - 2600)
	if got := lead.Assess(missing, blackboard.PeerReport{}, at(now)); got != lead.CauseMissing {
		t.Errorf("no primary: %q", got)
	}
	unknown := missing
	unknown.Term, unknown.MissingSince = 0, at(now-4500)
	if got := lead.Assess(unknown, blackboard.PeerReport{}, at(now)); got != lead.CauseNone {
		t.Errorf("no primary observed yet: %q", got)
	}
	unknown.MissingSince = at(now - 5100)
	if got := lead.Assess(unknown, blackboard.PeerReport{}, at(now)); got != lead.CauseMissing {
		t.Errorf("no primary observed for long: %q", got)
	}
	reporting := missing.Members["p"]
	missing.Members["p"] = edit(missing, "p", func(o *blackboard.MemberObservation) { o.RequestedAt = at(now - 3000) }).Members["p"]
	if got := lead.Assess(missing, blackboard.PeerReport{}, at(now)); got != lead.CauseNone {
		t.Errorf("no primary, and a member that is too busy to report: %q", got)
	}
	missing.Members["p"] = reporting
	missing.Term = 0
	if got := lead.Assess(missing, blackboard.PeerReport{}, at(now)); got != lead.CauseNone {
		t.Errorf("a service that never had a primary: %q", got)
	}
}

// At a VM that has observed no primary, a replica without a log among others that have one
// doesn't count: it may have confirmed commits that the others lack, and lost them.
func TestAssessCountsReplicasWithALog(t *testing.T) {
	const now = 10000
	for name, c := range map[string]struct {
		term      chervilladder.Term
		positions []chervilladder.Position
		want      lead.Cause
	}{
		"all have a log":         {0, []chervilladder.Position{7, 5}, lead.CauseMissing},
		"one has none":           {0, []chervilladder.Position{0, 5}, lead.CauseNone},
		"one of three has none":  {0, []chervilladder.Position{0, 5, 7}, lead.CauseMissing},
		"nothing was written":    {0, []chervilladder.Position{0, 0}, lead.CauseMissing},
		"a primary was observed": {3, []chervilladder.Position{0, 5}, lead.CauseMissing},
	} {
		var replicas []blackboard.MemberObservation
		for _, position := range c.positions {
			r := replica(now, 3, 0)
			r.Status.Received = chervilladder.Mark{Term: 3, Position: position}
			replicas = append(replicas, r)
		}
		v := view(replicas...)
		delete(v.Members, "p")
		v.Primary, v.Term, v.MissingSince = "", c.term, at(now-6000)
		if got := lead.Assess(v, blackboard.PeerReport{}, at(now)); got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

func TestCandidate(t *testing.T) {
	is := is.New(t)
	_, ok := lead.Candidate(nil)
	is.True(!ok)
	mark := func(term, n int) chervilladder.Mark {
		return chervilladder.Mark{Term: chervilladder.Term(term), Position: chervilladder.Position(n)}
	}
	best, _ := lead.Candidate([]lead.Paused{{Upstream: "a", Received: mark(2, 90)}, {Upstream: "b", Received: mark(3, 40)}, {Upstream: "c", Received: mark(3, 39)}})
	is.Equal(best.Upstream, chervilladder.UpstreamID("b"))
	best, _ = lead.Candidate([]lead.Paused{{Upstream: "a", Received: mark(3, 40), Leaving: true}, {Upstream: "b", Received: mark(3, 40)}})
	is.Equal(best.Upstream, chervilladder.UpstreamID("b"))
	best, _ = lead.Candidate([]lead.Paused{{Upstream: "a", Received: mark(3, 41), Leaving: true}, {Upstream: "b", Received: mark(3, 40)}})
	is.Equal(best.Upstream, chervilladder.UpstreamID("a")) // nothing acknowledged is lost
}
