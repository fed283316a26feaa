package promotion

import (
	"errors"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var ids = []chervilladder.UpstreamID{"a", "b", "c", "d", "e"}

// replicaLog is the log of one member: its entries, and the term of the primary
// that it last agreed with.
type replicaLog struct {
	entries []int
	term    chervilladder.Term
}

// simulatedGroup is a group that writes, replicates and elects at random.
type simulatedGroup struct {
	logs    []replicaLog
	primary int
	term    chervilladder.Term
	// termStart is the length of the log at the start of the term. A member's
	// log agrees with the term once it is that long.
	termStart int
	confirmed []int
	next      int
}

func (s *simulatedGroup) write() {
	p := &s.logs[s.primary]
	s.next++
	p.entries = append(slices.Clone(p.entries), s.next)
}

func (s *simulatedGroup) replicate(member, lack int) {
	p := s.logs[s.primary]
	if member == s.primary {
		return
	}
	length := max(s.termStart, len(p.entries)-lack)
	l := &s.logs[member]
	if l.term == s.term && len(l.entries) > length {
		return
	}
	l.entries, l.term = slices.Clone(p.entries[:length]), s.term
}

func (s *simulatedGroup) group() blackboard.Group {
	g := blackboard.Group{Primary: ids[s.primary], Term: s.term, Size: len(s.logs)}
	for i := range s.logs {
		g = g.With(ids[i], blackboard.MemberView{Status: s.status(i)})
	}
	return g
}

func (s *simulatedGroup) status(i int) chervilladder.MemberStatus {
	end := chervilladder.Position(len(s.logs[i].entries))
	return chervilladder.MemberStatus{Upstream: ids[i], LogTerm: s.logs[i].term, Received: end, Replayed: end}
}

// confirm records the writes that may now be acknowledged.
func (s *simulatedGroup) confirm() {
	g := s.group()
	for i, e := range s.logs[s.primary].entries {
		if proof.Confirmed(g, chervilladder.Position(i+1)) && !slices.Contains(s.confirmed, e) {
			s.confirmed = append(s.confirmed, e)
		}
	}
}

// TestCandidateHoldsConfirmedWrites guards against the loss of a confirmed write
// by an election. It elects among random majorities, also as a VM that knows no
// primary or considers the wrong member the primary.
func TestCandidateHoldsConfirmedWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		s := &simulatedGroup{logs: make([]replicaLog, size), term: 1}
		s.logs[0].term = 1
		member := rapid.IntRange(0, size-1)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				s.write()
			case 2, 3, 4:
				s.replicate(member.Draw(rt, "member"), rapid.IntRange(0, 3).Draw(rt, "lack"))
				s.confirm()
			case 5:
				s.elect(rt)
			}
		}
	})
}

func (s *simulatedGroup) elect(rt *rapid.T) {
	size := len(s.logs)
	voters := rapid.SliceOfNDistinct(rapid.IntRange(0, size-1), 0, size, rapid.ID).Draw(rt, "voters")
	old := rapid.SampledFrom(append([]chervilladder.UpstreamID{"", ids[s.primary]}, ids[:size]...)).Draw(rt, "old")
	var accepted []chervilladder.MemberStatus
	for _, i := range voters {
		accepted = append(accepted, s.status(i))
	}
	id, ok := Candidate(size, old, accepted)
	if ok != (len(voters) >= proof.Majority(size)) {
		rt.Fatalf("candidate %v of %d voters in %d", ok, len(voters), size)
	}
	if !ok {
		return
	}
	if rapid.Bool().Draw(rt, "planned") {
		staying := Staying{}
		for _, id := range ids[:size] {
			staying[id] = rapid.Bool().Draw(rt, "staying")
		}
		id, _ = Successor(size, staying, accepted)
	}
	next := slices.Index(ids, id)
	for _, e := range s.confirmed {
		if !slices.Contains(s.logs[next].entries, e) {
			rt.Fatalf("%s lacks the confirmed write %d", id, e)
		}
	}
	s.term++
	s.primary = next
	s.logs[next].term = s.term
	s.termStart = len(s.logs[next].entries)
}

var config = Config{SuspectAfter: 700 * time.Millisecond, FreshFor: time.Second}

// TestAssess checks groups of three whose primary is a.
func TestAssess(t *testing.T) {
	now := time.Unix(1000, 0)
	type views = map[chervilladder.UpstreamID]blackboard.MemberView
	view := func(r chervilladder.Role, sinceContact time.Duration) blackboard.MemberView {
		return blackboard.MemberView{Status: chervilladder.MemberStatus{Role: r, Term: 1, SinceContact: sinceContact}, RequestedAt: now}
	}
	primary, replica := chervilladder.RolePrimary, chervilladder.RoleReplica
	failing := func(since time.Duration) blackboard.MemberView {
		v := view(primary, 0)
		v.Err, v.FailingSince = errors.New("no answer"), now.Add(-since)
		return v
	}
	never := func(since time.Duration) blackboard.MemberView {
		v := view(replica, -1)
		v.NoContactSince = now.Add(-since)
		return v
	}
	stale := func(v blackboard.MemberView) blackboard.MemberView {
		v.RequestedAt = now.Add(-2 * time.Second)
		return v
	}
	noContact, inContact := view(replica, time.Second), view(replica, 50*time.Millisecond)
	cases := map[string]struct {
		unknown bool
		members views
		cause   Cause
	}{
		"healthy":                     {false, views{"a": view(primary, 0), "b": inContact, "c": inContact}, CauseNone},
		"dead":                        {false, views{"a": failing(time.Second), "b": noContact, "c": noContact}, CauseDead},
		"failing for a short time":    {false, views{"a": failing(100 * time.Millisecond), "b": noContact, "c": noContact}, CauseNone},
		"slow, replicas in contact":   {false, views{"a": failing(time.Minute), "b": inContact, "c": inContact}, CauseNone},
		"one replica without contact": {false, views{"a": failing(time.Second), "b": noContact, "c": inContact}, CauseNone},
		"old statuses of replicas":    {false, views{"a": failing(time.Second), "b": stale(noContact), "c": noContact}, CauseNone},
		"cut off":                     {false, views{"a": view(primary, time.Second), "b": noContact, "c": noContact}, CauseCutOff},
		"replicas without contact, primary in contact": {false, views{"a": view(primary, 0), "b": noContact, "c": noContact}, CauseNone},
		"stepped down":                       {false, views{"a": view(replica, time.Second), "b": noContact, "c": noContact}, CauseSteppedDown},
		"stepped down beside a dead replica": {false, views{"a": view(replica, time.Second), "b": noContact, "c": failing(time.Second)}, CauseSteppedDown},
		"start-up, no contact yet":           {false, views{"a": view(primary, 0), "b": never(100 * time.Millisecond), "c": never(100 * time.Millisecond)}, CauseNone},
		"dead before the first contact":      {false, views{"a": failing(time.Second), "b": never(time.Second), "c": never(time.Second)}, CauseDead},
		"no status of the primary yet":       {false, views{"b": noContact, "c": noContact}, CauseNone},
		"primary unknown, no contact":        {true, views{"a": failing(time.Second), "b": noContact, "c": noContact}, CauseMissing},
		"primary unknown, in contact":        {true, views{"a": failing(time.Second), "b": inContact, "c": inContact}, CauseNone},
		"primary unknown, one answers":       {true, views{"a": failing(time.Second), "b": noContact, "c": failing(time.Second)}, CauseNone},
		"primary unknown, just started":      {true, views{"a": never(0), "b": never(0), "c": never(0)}, CauseNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := blackboard.Group{Primary: "a", Term: 1, Size: 3, Members: c.members}
			if c.unknown {
				g.Primary, g.Term = "", 0
			}
			is.New(t).Equal(Assess(config, g, now), c.cause)
		})
	}
}

// TestAssessNewGroup checks that nothing is promoted in a group that has never
// been in a term.
func TestAssessNewGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	g := blackboard.Group{Size: 3}
	for _, id := range ids[:3] {
		g = g.With(id, blackboard.MemberView{RequestedAt: now, NoContactSince: now.Add(-time.Hour), Status: chervilladder.MemberStatus{Role: chervilladder.RoleReplica}})
	}
	is.New(t).Equal(Assess(config, g, now), CauseNone)
}
