package proof

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var ids = []chervilladder.UpstreamID{"a", "b", "c", "d", "e"}

// The term and claim of the event, and a time later than all others.
const (
	term  chervilladder.Term  = 3
	claim chervilladder.Claim = 7
	never                     = 1000
)

// TestCurrentRulesOutAReplacedPrimary guards against a proof for a primary or
// claim that had been replaced before the event. Each member accepts the next
// term at a random time, the claim is taken over at another, and statuses are
// requested around the event and answered after a random delay.
func TestCurrentRulesOutAReplacedPrimary(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 5}).Draw(rt, "size")
		instant := rapid.IntRange(0, 20)
		event, claimLost := instant.Draw(rt, "event"), instant.Draw(rt, "claim lost")
		g := blackboard.Group{Primary: "a", Term: term, Claim: claim, Size: size}
		accepts := make([]int, size)
		for i := range size {
			accepts[i] = rapid.SampledFrom([]int{instant.Draw(rt, "accepted"), never}).Draw(rt, "accepts")
			requested := instant.Draw(rt, "requested")
			answered := requested + rapid.IntRange(0, 5).Draw(rt, "takes")
			s := chervilladder.MemberStatus{Term: term, Role: chervilladder.RoleReplica, Claim: claim}
			if i == 0 {
				s.Role = chervilladder.RolePrimary
			}
			if answered >= claimLost && i == 0 {
				s.Claim++
			}
			if answered >= accepts[i] {
				s.Term, s.Role = term+1, chervilladder.RoleReplica
			}
			g = g.With(ids[i], blackboard.MemberView{Status: s, Poll: blackboard.PollNumber(requested), RequestedAt: time.Unix(int64(requested), 0)})
		}
		checkCoveredUntil(rt, g, accepts)
		if Current(g, term, claim, blackboard.PollNumber(event)) != Holds {
			return
		}
		slices.Sort(accepts)
		if opened := accepts[Majority(size)-1]; opened <= event {
			rt.Fatalf("a majority had accepted the next term at %d, event at %d", opened, event)
		}
		if claimLost <= event {
			rt.Fatalf("the claim was lost at %d, event at %d", claimLost, event)
		}
	})
}

// checkCoveredUntil fails if a majority had accepted the next term by the time up to
// which the primary's status is said to cover all writes.
func checkCoveredUntil(rt *rapid.T, g blackboard.Group, accepts []int) {
	until, ok := CoveredUntil(g)
	if !ok {
		return
	}
	sorted := slices.Sorted(slices.Values(accepts))
	if opened := sorted[Majority(g.Size)-1]; int64(opened) <= until.Unix() {
		rt.Fatalf("a majority had accepted the next term at %d, covered until %d", opened, until.Unix())
	}
}

func TestCurrent(t *testing.T) {
	agree := func(r chervilladder.Role, t blackboard.PollNumber) blackboard.MemberView {
		return blackboard.MemberView{Status: chervilladder.MemberStatus{Term: term, Role: r, Claim: claim}, Poll: t}
	}
	group := func(a, b, c blackboard.MemberView) blackboard.Group {
		return blackboard.Group{Primary: "a", Term: term, Claim: claim, Size: 3}.With("a", a).With("b", b).With("c", c)
	}
	primary, replica := chervilladder.RolePrimary, chervilladder.RoleReplica
	newer := agree(replica, 5)
	newer.Status.Term++
	taken := agree(primary, 5)
	taken.Status.Claim++
	cases := map[string]struct {
		group   blackboard.Group
		claim   chervilladder.Claim
		verdict Verdict
	}{
		"majority":              {group(agree(primary, 5), agree(replica, 5), agree(replica, 0)), claim, Holds},
		"without the primary":   {group(agree(primary, 4), agree(replica, 5), agree(replica, 5)), claim, Pending},
		"primary alone":         {group(agree(primary, 5), agree(replica, 4), agree(replica, 4)), claim, Pending},
		"stepped down":          {group(agree(replica, 5), agree(replica, 5), agree(replica, 5)), claim, Pending},
		"a member's newer term": {group(agree(primary, 5), agree(replica, 5), newer), claim, Broken},
		"claim taken over":      {group(taken, agree(replica, 5), agree(replica, 5)), claim, Broken},
		"other claim":           {group(agree(primary, 5), agree(replica, 5), agree(replica, 5)), claim - 1, Broken},
		"no claim":              {blackboard.Group{Primary: "a", Term: term, Size: 1}.With("a", agree(primary, 5)), 0, Broken},
		"group removed":         {blackboard.Group{}, claim, Broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Current(c.group, term, c.claim, 5), c.verdict)
		})
	}
}

func TestConfirmed(t *testing.T) {
	is := is.New(t)
	view := func(t chervilladder.Term, p chervilladder.Position) blackboard.MemberView {
		return blackboard.MemberView{Status: chervilladder.MemberStatus{LogTerm: t, Received: p}}
	}
	g := blackboard.Group{Primary: "a", Term: term, Size: 3}
	is.True(!Confirmed(g.With("a", view(term, 9)), 9))                         // the primary alone
	is.True(Confirmed(g.With("b", view(term, 9)), 9))                          // one replica
	is.True(!Confirmed(g.With("b", view(term, 8)), 9))                         // one replica behind
	is.True(!Confirmed(g.With("b", view(term-1, 9)), 9))                       // a log of another term
	g.Size = 5                                                                 // two replicas are needed
	is.True(!Confirmed(g.With("b", view(term, 9)), 9))                         // one
	is.True(Confirmed(g.With("b", view(term, 9)).With("c", view(term, 9)), 9)) // two
}
