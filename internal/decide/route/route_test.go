package route

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
)

func replica(t chervilladder.Term, p chervilladder.Position, poll blackboard.PollNumber) blackboard.MemberView {
	return blackboard.MemberView{
		Status: chervilladder.MemberStatus{Role: chervilladder.RoleReplica, Term: t, LogTerm: t, Received: p, Replayed: p},
		Poll:   poll,
	}
}

func primary(t chervilladder.Term, p chervilladder.Position, poll blackboard.PollNumber) blackboard.MemberView {
	v := replica(t, p, poll)
	v.Status.Role = chervilladder.RolePrimary
	return v
}

func mark(t chervilladder.Term, p chervilladder.Position) chervilladder.Mark {
	return chervilladder.Mark{Term: t, Position: p}
}

// TestMayRead checks whether b may serve a read in a group whose primary a is
// at position 10 in term 2.
func TestMayRead(t *testing.T) {
	failing := replica(2, 10, 5)
	failing.Err = errors.New("no answer")
	type views = map[chervilladder.UpstreamID]blackboard.MemberView
	with := func(b, c blackboard.MemberView) views { return views{"a": primary(2, 10, 5), "b": b, "c": c} }
	written := blackboard.MinimumPosition{Written: mark(2, 8)}
	cases := map[string]struct {
		members views
		minimum blackboard.MinimumPosition
		may     bool
	}{
		"nothing observed":                 {with(replica(2, 0, 0), replica(2, 0, 0)), blackboard.MinimumPosition{}, true},
		"own write replayed":               {with(replica(2, 8, 0), replica(2, 0, 0)), written, true},
		"own write not replayed":           {with(replica(2, 7, 0), replica(2, 9, 0)), written, false},
		"own write of an earlier term":     {with(replica(2, 1, 0), replica(2, 1, 0)), blackboard.MinimumPosition{Written: mark(1, 99)}, true},
		"log of an earlier term":           {with(replica(1, 99, 0), replica(2, 9, 0)), written, false},
		"failing":                          {with(failing, replica(2, 9, 0)), blackboard.MinimumPosition{}, false},
		"primary":                          {with(primary(2, 10, 5), replica(2, 9, 0)), blackboard.MinimumPosition{}, false},
		"unknown":                          {views{"a": primary(2, 10, 5)}, blackboard.MinimumPosition{}, false},
		"read there before":                {with(replica(2, 3, 0), replica(2, 9, 0)), blackboard.MinimumPosition{ReadPoll: 5, Replica: "b"}, true},
		"read elsewhere, covered":          {with(replica(2, 9, 0), replica(2, 9, 5)), blackboard.MinimumPosition{ReadPoll: 5, Replica: "c"}, true},
		"read elsewhere, behind":           {with(replica(2, 8, 0), replica(2, 9, 5)), blackboard.MinimumPosition{ReadPoll: 5, Replica: "c"}, false},
		"read elsewhere, no status since":  {with(replica(2, 9, 5), replica(2, 9, 4)), blackboard.MinimumPosition{ReadPoll: 5, Replica: "c"}, false},
		"read on any, behind one":          {with(replica(2, 8, 5), replica(2, 9, 5)), blackboard.MinimumPosition{ReadPoll: 5}, false},
		"read on any, covers all":          {with(replica(2, 9, 5), replica(2, 9, 5)), blackboard.MinimumPosition{ReadPoll: 5}, true},
		"unknown outcome, covered":         {with(replica(2, 10, 0), replica(2, 0, 0)), blackboard.MinimumPosition{UnknownWritePoll: 5}, true},
		"unknown outcome, behind":          {with(replica(2, 9, 0), replica(2, 0, 0)), blackboard.MinimumPosition{UnknownWritePoll: 5}, false},
		"unknown outcome, no status since": {with(replica(2, 10, 9), replica(2, 0, 0)), blackboard.MinimumPosition{UnknownWritePoll: 6}, false},
		"unknown outcome, primary promoted since its status": {
			views{"a": replica(1, 10, 5), "b": replica(2, 10, 9), "c": replica(2, 9, 9)}, blackboard.MinimumPosition{UnknownWritePoll: 5}, false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := blackboard.Group{Primary: "a", Term: 2, Claim: 1, Size: 3, Members: c.members}
			is.New(t).Equal(MayRead(g, c.minimum, "b"), c.may)
		})
	}
}

// TestMayReadAged checks whether b may serve a read that accepts an age of five
// seconds, in a group whose primary was at position 5 four seconds ago and at
// position 10 one second ago.
func TestMayReadAged(t *testing.T) {
	now := time.Unix(1000, 0)
	history := freshness.History{}.
		With(freshness.Sample{RequestedAt: now.Add(-8 * time.Second), Mark: mark(2, 3)}).
		With(freshness.Sample{RequestedAt: now.Add(-4 * time.Second), Mark: mark(2, 5)}).
		With(freshness.Sample{RequestedAt: now.Add(-time.Second), Mark: mark(2, 10)})
	at := func(p chervilladder.Position, age time.Duration) blackboard.MemberView {
		v := replica(2, p, 0)
		v.RequestedAt = now.Add(-age)
		return v
	}
	failing := at(10, 0)
	failing.Err = errors.New("no answer")
	cases := map[string]struct {
		view    blackboard.MemberView
		minimum blackboard.MinimumPosition
		may     bool
	}{
		"newest":                  {at(10, 0), blackboard.MinimumPosition{}, true},
		"young enough":            {at(5, 0), blackboard.MinimumPosition{}, true},
		"too old":                 {at(4, 0), blackboard.MinimumPosition{}, false},
		"behind all samples":      {at(1, 0), blackboard.MinimumPosition{}, false},
		"old status":              {at(10, 6*time.Second), blackboard.MinimumPosition{}, false},
		"failing":                 {failing, blackboard.MinimumPosition{}, false},
		"own write":               {at(7, 0), blackboard.MinimumPosition{Written: mark(2, 8)}, false},
		"own write replayed":      {at(8, 0), blackboard.MinimumPosition{Written: mark(2, 8)}, true},
		"unknown outcome":         {at(10, 0), blackboard.MinimumPosition{UnknownWritePoll: 6}, false},
		"unknown outcome covered": {at(10, 0), blackboard.MinimumPosition{UnknownWritePoll: 5}, true},
		"read newer before":       {at(5, 0), blackboard.MinimumPosition{ReadPoll: 5, Replica: "c"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := blackboard.Group{Primary: "a", Term: 2, Size: 3}.With("a", primary(2, 10, 5)).With("b", c.view).With("c", at(10, 0))
			may := MayReadAged(g, c.minimum, "b", Aged{Accepted: 5 * time.Second, History: history, Now: now})
			is.New(t).Equal(may, c.may)
		})
	}
}

// TestMayReadWithoutClaim checks that in a group that isn't open no replica may
// serve a read that must see what its session has observed. TestMayReadAged has no
// claim either: reads that accept data up to an age are served without one.
func TestMayReadWithoutClaim(t *testing.T) {
	g := blackboard.Group{Primary: "a", Term: 2, Size: 3}.With("b", replica(2, 9, 5))
	is.New(t).True(!MayRead(g, blackboard.MinimumPosition{}, "b"))
}
