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
		is.New(t).Equal([]any{name, lead.FateOf(c.view, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked), Settled: lead.Settled(c.view, at(acked+10))}, at(acked+60))}, []any{name, c.fate})
	}

	// Before ReplyWait is over, a settled cluster isn't enough.
	busySince := func(v blackboard.ClusterView, ids ...chervilladder.UpstreamID) blackboard.ClusterView {
		for _, id := range ids {
			v = edit(v, id, func(o *blackboard.MemberObservation) { o.BusyAt = at(after) })
		}
		return v
	}
	for name, c := range map[string]struct {
		view blackboard.ClusterView
		now  int
		fate lead.Fate
	}{
		"no replica has told yet":            {view(replica(before, 3, 0), replica(before, 3, 0)), acked + 10, lead.FateOpen},
		"all replicas are too busy":          {busySince(view(replica(before, 3, 0), replica(before, 3, 0)), "a", "b"), acked + 10, lead.FateKept},
		"one is too busy":                    {busySince(view(replica(before, 3, 0), replica(before, 3, 0)), "a"), acked + 10, lead.FateOpen},
		"one has told that it lacks it":      {view(holding(replica(after, 3, 0), 6), replica(before, 3, 0)), acked + 60, lead.FateOpen},
		"one lacks it, the other is busy":    {busySince(view(holding(replica(after, 3, 0), 6), replica(before, 3, 0)), "b"), acked + 60, lead.FateOpen},
		"one has told that it holds it":      {view(holding(replica(after, 3, 0), 7), replica(before, 3, 0)), acked + 10, lead.FateKept},
		"one held it when it was last asked": {view(holding(replica(before, 3, 0), 7), replica(before, 3, 0)), acked + 10, lead.FateKept},
	} {
		is.New(t).Equal([]any{name, lead.FateOf(c.view, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked), Settled: lead.Settled(c.view, at(acked))}, at(c.now))}, []any{name, c.fate})
	}

	is := is.New(t)
	replaced := view(replica(before, 4, 0))
	replaced.Primary = "a"
	is.Equal(lead.FateOf(replaced, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked)}, at(acked+10)), lead.FateInDoubt)
	unconfirmed := view(replica(before, 3, 4))
	unconfirmed.Confirmations = 0
	is.Equal(lead.FateOf(unconfirmed, blackboard.Replacement{}, lead.Commit{By: "p", Mark: mark, AckedAt: at(acked)}, at(acked+10)), lead.FateKept)
}

// Guards against a success for a commit that a candidate lacks, whatever others confirm.
func TestFateOfWithCandidates(t *testing.T) {
	const acked = 5000 // when the commit was acknowledged, in ms
	before, since, now := acked-100, acked+5, acked+60
	commit := lead.Commit{By: "p", Mark: chervilladder.Mark{Term: 3, Position: 7}, AckedAt: at(acked)}
	holding := func(requestedMS int, paused chervilladder.Term, p chervilladder.Position) blackboard.MemberObservation {
		r := replica(requestedMS, 3, paused)
		r.Status.Received = chervilladder.Mark{Term: 3, Position: p}
		return r
	}
	lacks := func(requestedMS int, paused chervilladder.Term) blackboard.MemberObservation {
		return holding(requestedMS, paused, 6)
	}
	holds := func(requestedMS int, paused chervilladder.Term) blackboard.MemberObservation {
		return holding(requestedMS, paused, 7)
	}
	failing := func(r blackboard.MemberObservation) blackboard.MemberObservation {
		r.FailingSince = at(acked - 50)
		return r
	}
	candidates := func(untilMS int, list ...chervilladder.UpstreamID) blackboard.Replacement {
		var r blackboard.Replacement
		for _, id := range list {
			r.Candidates = append(r.Candidates, blackboard.Candidate{Upstream: id, By: "vm-1", Replaces: 3, Until: at(untilMS)})
		}
		return r
	}
	a, both := candidates(now+1, "a"), candidates(now+1, "a", "b")
	for name, c := range map[string]struct {
		view        blackboard.ClusterView
		replacement blackboard.Replacement
		fate        lead.Fate
	}{
		"settled, without a candidate":                    {view(lacks(before, 0), lacks(before, 0)), blackboard.Replacement{}, lead.FateKept},
		"settled, the candidate lacks it":                 {view(lacks(before, 0), lacks(before, 0)), a, lead.FateOpen},
		"another replica holds it":                        {view(lacks(before, 0), holds(since, 0)), a, lead.FateOpen},
		"the candidate holds it":                          {view(holds(since, 0), lacks(since, 0)), a, lead.FateKept},
		"the candidate is paused and holds it":            {view(holds(since, 4), lacks(since, 4)), a, lead.FateKept},
		"it held it before it fell silent":                {view(failing(holds(before, 4)), lacks(since, 4)), a, lead.FateKept},
		"the candidate is paused and lacks it":            {view(lacks(since, 4), holds(since, 4)), a, lead.FateInDoubt},
		"paused, nothing newer than the commit":           {view(lacks(before, 4), holds(since, 4)), a, lead.FateOpen},
		"paused and silent":                               {view(failing(lacks(since, 4)), holds(since, 4)), a, lead.FateOpen},
		"the candidate runs and may still get it":         {view(lacks(since, 0), holds(since, 4)), a, lead.FateOpen},
		"the candidate was never polled":                  {view(blackboard.MemberObservation{}, holds(since, 0)), a, lead.FateOpen},
		"both candidates hold it":                         {view(holds(since, 4), holds(since, 4)), both, lead.FateKept},
		"one of two may still get it":                     {view(holds(since, 4), lacks(since, 0)), both, lead.FateOpen},
		"one of two is paused and lacks it":               {view(holds(since, 4), lacks(since, 4)), both, lead.FateInDoubt},
		"one may get it, the other is paused":             {view(lacks(since, 0), lacks(since, 4)), both, lead.FateInDoubt},
		"the candidate's time is over":                    {view(lacks(before, 0), lacks(before, 0)), candidates(now, "a"), lead.FateKept},
		"the candidate's registration has expired":        {view(lacks(before, 0), lacks(before, 0)), candidates(now+1, "gone"), lead.FateOpen},
		"the candidate has the position, of a later term": {edit(view(holds(since, 0)), "a", func(o *blackboard.MemberObservation) { o.Status.Term = 4 }), a, lead.FateOpen},
	} {
		commit.Settled = lead.Settled(c.view, at(acked))
		is.New(t).Equal([]any{name, lead.FateOf(c.view, c.replacement, commit, at(now))}, []any{name, c.fate})
	}

	is := is.New(t)
	unmarked := commit
	unmarked.Mark = chervilladder.Mark{}
	is.Equal(lead.FateOf(view(holds(since, 0)), a, unmarked, at(now)), lead.FateOpen) // no replica is known to hold it

	unconfirmed := view(lacks(since, 4))
	unconfirmed.Confirmations = 0
	is.Equal(lead.FateOf(unconfirmed, a, commit, at(now)), lead.FateKept) // the service accepts its loss

	promoted := view(primary(since, 4), lacks(since, 4))
	promoted.Primary, promoted.Term = "a", 4
	is.Equal(lead.FateOf(promoted, a, commit, at(now)), lead.FateInDoubt) // the old primary's
	next := lead.Commit{By: "a", Mark: chervilladder.Mark{Term: 4, Position: 8}, AckedAt: at(acked)}
	follower := holding(since, 4, 8)
	follower.Status.Term, follower.Status.Received.Term = 4, 4
	promoted.Members["b"] = follower
	is.Equal(lead.FateOf(promoted, a, next, at(now)), lead.FateKept) // a candidate that leads binds no more
}
