package lead_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// Guards against a success for a commit that a failover may lose.
func TestFateOf(t *testing.T) {
	const acked = 5000 // when the commit was acknowledged, in ms
	mark := chervilladder.Mark{Term: 3, Position: 7}
	holding := func(r blackboard.MemberObservation, p chervilladder.Position) blackboard.MemberObservation {
		r.Status.Received = chervilladder.Mark{Term: 3, Position: p}
		return r
	}
	before, after := acked-400, acked+5
	joinedAt := func(r blackboard.MemberObservation, ms int) blackboard.MemberObservation {
		r.RespondingSince = at(ms)
		return r
	}
	pausedSince := func(ms int) blackboard.MemberObservation {
		r := replica(after, 3, 4)
		r.PausedSince = at(ms)
		return r
	}
	returned := func(v blackboard.ClusterView) blackboard.ClusterView {
		return edit(v, "p", func(o *blackboard.MemberObservation) { o.RespondingSince = at(acked - 100) })
	}
	busy := func(v blackboard.ClusterView) blackboard.ClusterView {
		return edit(v, "a", func(o *blackboard.MemberObservation) { o.BusyAt = at(acked - 300) })
	}
	stalled := func(v blackboard.ClusterView, ms int) blackboard.ClusterView {
		return edit(v, "p", func(o *blackboard.MemberObservation) { o.StalledSince = at(ms) })
	}
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		fate lead.Fate
	}{
		"all replicas follow":                            {view(replica(before, 3, 0), replica(before, 3, 0)), lead.FateKept},
		"the one that answers follows":                   {view(replica(before, 3, 0), blackboard.MemberObservation{}), lead.FateKept},
		"no replica answers":                             {view(blackboard.MemberObservation{}), lead.FateOpen},
		"old statuses only":                              {view(replica(acked-2500, 3, 0), replica(acked-2500, 3, 0)), lead.FateOpen},
		"one was paused, nothing newer":                  {view(replica(before, 3, 4), replica(before, 3, 0)), lead.FateOpen},
		"all are paused since":                           {view(pausedSince(4700), pausedSince(4700)), lead.FateInDoubt},
		"all are paused, one holds it":                   {view(pausedSince(4700), holding(pausedSince(4700), 7)), lead.FateKept},
		"one is paused, the other holds it":              {view(pausedSince(4700), holding(replica(after, 3, 0), 7)), lead.FateKept},
		"one is paused, the other lacks it":              {view(pausedSince(4700), holding(replica(after, 3, 0), 6)), lead.FateOpen},
		"one is paused, one that joined since holds it":  {view(pausedSince(4700), joinedAt(holding(replica(after, 3, 0), 7), 4800)), lead.FateOpen},
		"busy replicas that follow":                      {busy(view(replica(acked-2500, 3, 0))), lead.FateKept},
		"the primary leaves":                             {edit(view(replica(before, 3, 0)), "p", func(o *blackboard.MemberObservation) { o.Deregistered = true }), lead.FateOpen},
		"no replica has reached its log for long":        {stalled(view(replica(before, 3, 0)), acked-900), lead.FateOpen},
		"no replica has reached its log for a moment":    {stalled(view(replica(before, 3, 0)), acked-450), lead.FateKept},
		"the primary was away":                           {returned(view(replica(before, 3, 0), replica(before, 3, 0))), lead.FateOpen},
		"the primary was away, a replica holds it since": {returned(view(replica(before, 3, 0), holding(replica(after, 3, 0), 8))), lead.FateKept},
	} {
		is.New(t).Equal([]any{name, lead.FateOf(c.view, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked)}, at(acked+10))}, []any{name, c.fate})
	}

	is := is.New(t)
	replaced := view(replica(before, 4, 0))
	replaced.Primary = "a"
	is.Equal(lead.FateOf(replaced, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked)}, at(acked+10)), lead.FateInDoubt)
	unconfirmed := view(replica(before, 3, 4))
	unconfirmed.Confirmations = 0
	is.Equal(lead.FateOf(unconfirmed, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked)}, at(acked+10)), lead.FateKept)
}
