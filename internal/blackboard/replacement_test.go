package blackboard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

var announcedAt = time.Unix(1000, 0)

// after returns the time that is some seconds after announcedAt.
func after(s int) time.Time { return announcedAt.Add(time.Duration(s) * time.Second) }

// candidate returns a member that replaces the primary of term 3.
func candidate(id chervilladder.UpstreamID, by chervilladder.VMID, untilSeconds int) blackboard.Candidate {
	return blackboard.Candidate{Upstream: id, By: by, Replaces: 3, Until: after(untilSeconds)}
}

// An order of either VM may take effect, so an announcement takes the place of one of the
// same VM for the same candidate only, and a candidate stays until its time is over.
func TestAnnounced(t *testing.T) {
	a, b := candidate("a", "vm-1", 14), candidate("b", "vm-1", 14)
	otherVM := candidate("a", "vm-2", 14)
	both := []blackboard.Candidate{a, b}
	for name, c := range map[string]struct {
		before    []blackboard.Candidate
		announced blackboard.Candidate
		at        int
		want      []blackboard.Candidate
	}{
		"the first":                      {nil, a, 0, []blackboard.Candidate{a}},
		"another candidate":              {[]blackboard.Candidate{a}, b, 1, both},
		"the same candidate anew":        {[]blackboard.Candidate{a}, candidate("a", "vm-1", 18), 4, []blackboard.Candidate{candidate("a", "vm-1", 18)}},
		"the same one by another VM":     {[]blackboard.Candidate{a}, otherVM, 1, []blackboard.Candidate{a, otherVM}},
		"withdrawn without an order":     {both, candidate("a", "vm-1", 1), 1, []blackboard.Candidate{b}},
		"withdrawn by another VM":        {[]blackboard.Candidate{a}, candidate("a", "vm-2", 1), 1, []blackboard.Candidate{a}},
		"withdrawn after an order":       {both, candidate("b", "vm-1", 11), 1, []blackboard.Candidate{a, candidate("b", "vm-1", 11)}},
		"the time of an earlier is over": {[]blackboard.Candidate{a}, candidate("b", "vm-1", 28), 14, []blackboard.Candidate{candidate("b", "vm-1", 28)}},
	} {
		before := blackboard.Replacement{Candidates: c.before}
		kept := append([]blackboard.Candidate(nil), c.before...)
		got := before.Announced(c.announced, after(c.at))
		is.New(t).Equal([]any{name, got.Candidates}, []any{name, c.want})
		is.New(t).Equal([]any{name, before.Candidates}, []any{name, kept}) // readers may hold the old value
	}
}

// A candidate binds while an order may still make it the primary.
func TestPending(t *testing.T) {
	view := func(primary chervilladder.UpstreamID, term chervilladder.Term, members ...chervilladder.UpstreamID) blackboard.ClusterView {
		v := blackboard.ClusterView{Primary: primary, Term: term, Members: make(map[chervilladder.UpstreamID]blackboard.MemberObservation)}
		for _, id := range members {
			v.Members[id] = blackboard.MemberObservation{}
		}
		return v
	}
	effective := candidate("a", "vm-1", 14)
	effective.TookEffect = true
	answering := view("p", 5, "p", "a")
	answering.Members["a"] = blackboard.MemberObservation{RequestedAt: announcedAt}
	for name, c := range map[string]struct {
		candidate blackboard.Candidate
		view      blackboard.ClusterView
		at        int
		pending   bool
	}{
		"the old primary leads":                  {candidate("a", "vm-1", 14), view("p", 3, "p", "a"), 1, true},
		"it leads":                               {candidate("a", "vm-1", 14), view("a", 4, "p", "a"), 1, false},
		"it led the term that it is to replace":  {candidate("a", "vm-1", 14), view("a", 3, "p", "a"), 1, true},
		"it led, and another one leads":          {candidate("a", "vm-1", 14), view("p", 5, "p", "a"), 1, true},
		"no primary is known":                    {candidate("a", "vm-1", 14), view("", 3, "p", "a"), 1, true},
		"just before its time is over":           {candidate("a", "vm-1", 14), view("p", 3, "p", "a"), 13, true},
		"its time is over":                       {candidate("a", "vm-1", 14), view("p", 3, "p", "a"), 14, false},
		"its registration has expired":           {candidate("a", "vm-1", 14), view("p", 3, "p"), 1, true},
		"an order took effect, and it answers":   {effective, answering, 1, true},
		"an order took effect, and it is silent": {effective, view("p", 5, "p", "a"), 1, false},
	} {
		r := blackboard.Replacement{Candidates: []blackboard.Candidate{c.candidate}}
		is.New(t).Equal([]any{name, len(r.Pending(c.view, after(c.at))) == 1}, []any{name, c.pending})
	}
	is.New(t).Equal(len(blackboard.Replacement{}.Pending(view("p", 3, "p"), announcedAt)), 0)
}
