package lead_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// lost has members leave three questions without an answer since a moment.
func lost(v blackboard.ClusterView, sinceMS int, ids ...chervilladder.UpstreamID) blackboard.ClusterView {
	for _, id := range ids {
		s := v.Members[id]
		s.FailingSince, s.Failures = at(sinceMS), 3
		v.Members[id] = s
		if id == v.Primary {
			v.UnreachedSince = s.FailingSince
		}
	}
	return v
}

// told is a peer's word that it reaches p in a term.
func told(atMS int, term chervilladder.Term) blackboard.Testimony {
	return blackboard.Testimony{By: "peer", Led: chervilladder.Led{Primary: "p", Term: term}, At: at(atMS)}
}

func TestOutOfReach(t *testing.T) {
	const now = 10000
	two := func() blackboard.ClusterView { return view(replica(now, 3, 0), replica(now, 3, 0)) }
	unknown := lost(two(), now-700, "p", "a", "b")
	unknown.Primary, unknown.UnreachedSince = "", at(now-700)
	missing := func(sinceMS int) blackboard.ClusterView {
		v := two()
		delete(v.Members, "p")
		v.Primary, v.UnreachedSince = "", at(sinceMS)
		return v
	}
	unconfirmed := lost(two(), now-700, "a", "b")
	unconfirmed.Confirmations = 0
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		want bool
	}{
		"all is well":                   {two(), false},
		"one replica is lost":           {lost(two(), now-9000, "a"), false},
		"both for a moment":             {lost(two(), now-300, "a", "b"), false},
		"both":                          {lost(two(), now-700, "a", "b"), true},
		"both, no confirmation needed":  {unconfirmed, false},
		"the primary, to be replaced":   {lost(two(), now-2900, "p"), false},
		"the primary, and not replaced": {lost(two(), now-3100, "p"), true},
		"all":                           {lost(two(), now-700, "p", "a", "b"), true},
		"no primary is known":           {unknown, false},
		"none leads for a moment":       {missing(now - 2900), false},
		"none leads":                    {missing(now - 3100), true},
		"there are no replicas":         {view(), false},
	} {
		if got := lead.OutOfReach(c.view, blackboard.Testimony{}, at(now)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A VM that has lost its way passes work to the peer that has not, by a word that is
// new enough and of no older primary. It then takes the primary for none to replace.
func TestDetour(t *testing.T) {
	const now = 10000
	two := func() blackboard.ClusterView { return view(replica(now, 3, 0), replica(now, 3, 0)) }
	unknown := two()
	unknown.Primary, unknown.MissingSince = "", at(now-9000)
	delete(unknown.Members, "p")
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		told blackboard.Testimony
		peer chervilladder.VMID
		want lead.Cause
	}{
		"all is well":                    {two(), told(now-100, 3), "", lead.CauseNone},
		"the primary is out of reach":    {lost(two(), now-700, "p"), told(now-100, 3), "peer", lead.CauseNone},
		"and has a successor":            {lost(two(), now-700, "p"), told(now-100, 4), "peer", lead.CauseNone},
		"nobody reaches it":              {lost(two(), now-700, "p"), blackboard.Testimony{}, "", lead.CauseDead},
		"an old word":                    {lost(two(), now-2000, "p"), told(now-900, 3), "", lead.CauseDead},
		"a word on an older primary":     {lost(two(), now-700, "p"), told(now-100, 2), "", lead.CauseDead},
		"no replica is in reach":         {lost(two(), now-700, "a", "b"), told(now-100, 3), "peer", lead.CauseNone},
		"one replica is out of reach":    {lost(two(), now-700, "a"), told(now-100, 3), "", lead.CauseNone},
		"no primary is known":            {unknown, told(now-100, 3), "peer", lead.CauseNone},
		"no primary is known to anybody": {unknown, blackboard.Testimony{}, "", lead.CauseMissing},
	} {
		if got := lead.Detour(c.view, c.told, at(now)); got != c.peer {
			t.Errorf("%s: passed to %q", name, got)
		}
		if got := lead.OutOfReach(c.view, c.told, at(now)); c.peer != "" && !got {
			t.Errorf("%s: not out of reach", name)
		}
		if got := lead.Assess(c.view, c.told, at(now)); got != c.want {
			t.Errorf("%s: cause %q", name, got)
		}
	}
}

// A VM tells a peer only of a primary that has answered since it was asked, with a
// replica that has its last commit.
func TestReached(t *testing.T) {
	const now = 10000
	moment := at(now - 50)
	asked := func(change func(*blackboard.Sighting)) blackboard.ClusterView {
		v := view(replica(now-20, 3, 0), replica(now-20, 3, 0))
		s := v.Members["p"]
		s.Asked = at(now - 20)
		if change != nil {
			change(&s)
		}
		v.Members["p"] = s
		return v
	}
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		want bool
	}{
		"in reach":             {asked(nil), true},
		"asked before":         {asked(func(s *blackboard.Sighting) { s.Asked = at(now - 60) }), false},
		"it fails":             {lost(asked(nil), now-100, "p"), false},
		"no replica is":        {lost(asked(nil), now-100, "a", "b"), false},
		"a commit is with it":  {asked(func(s *blackboard.Sighting) { s.StalledSince = at(now - 30) }), false},
		"it leaves":            {asked(func(s *blackboard.Sighting) { s.DrainingSince = at(now - 900) }), true},
		"none is known":        {blackboard.ClusterView{}, false},
		"it is being replaced": {change(asked(nil), "a", func(s *blackboard.Sighting) { s.Status.Held, s.HeldSince = 4, at(now-2100) }), false},
	} {
		led, got := lead.Reached(c.view, moment, at(now))
		if got != c.want || got && led != (chervilladder.Led{Primary: "p", Term: 3}) {
			t.Errorf("%s: %v, %v", name, led, got)
		}
	}
	is := is.New(t)
	is.True(!lead.Suspect(blackboard.ClusterView{})) // nobody is asked about a service that is not known
}
