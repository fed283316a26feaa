package group

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// entry is one write in a fake member's log.
type entry int

// fakeState is one member of a fake group.
type fakeState struct {
	role    chervilladder.Role
	ballot  chervilladder.Ballot
	logTerm chervilladder.Term
	log     []entry
	claim   chervilladder.Claim
	holder  chervilladder.VMID
	follows chervilladder.UpstreamID
	// lastContact is when the member was last in contact with another one in
	// its term.
	lastContact time.Time

	down   bool // calls fail at once
	frozen bool // calls hang
	cutOff bool // unreachable for the other members
	lags   bool // receives no log entries
}

// fakeGroup is the members of one group, in memory.
type fakeGroup struct {
	mu      sync.Mutex
	members map[chervilladder.UpstreamID]*fakeState
	// losses is the number of responses to lose, by call.
	losses map[string]int
	// delayOf returns how long to delay a call before it takes effect.
	delayOf func(call string, id chervilladder.UpstreamID) time.Duration
	// promoted is the member that was promoted in each term.
	promoted map[chervilladder.Term]chervilladder.UpstreamID
	// twoPrimaries is set once two members were promoted in one term.
	twoPrimaries bool
	next         entry
}

var errFake = errors.New("no answer")

func newFakeGroup(ids ...chervilladder.UpstreamID) *fakeGroup {
	f := &fakeGroup{
		members:  make(map[chervilladder.UpstreamID]*fakeState),
		losses:   make(map[string]int),
		promoted: make(map[chervilladder.Term]chervilladder.UpstreamID),
	}
	for i, id := range ids {
		s := &fakeState{role: chervilladder.RoleReplica, follows: ids[0], lastContact: time.Now(), logTerm: 1}
		s.ballot = chervilladder.Ballot{Term: 1, Attempt: "first"}
		if i == 0 {
			s.role, s.follows = chervilladder.RolePrimary, ""
		}
		f.members[id] = s
	}
	f.promoted[1] = ids[0]
	return f
}

// run has the members replicate and exchange their terms every 50 ms.
func (f *fakeGroup) run(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.exchange()
		case <-ctx.Done():
			return
		}
	}
}

func (f *fakeGroup) exchange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := f.highest()
	for id, s := range f.members {
		if !s.reachable() {
			continue
		}
		if s.ballot.Term < highest.Term {
			s.accept(highest)
		}
		if p := f.promoted[s.ballot.Term]; p != "" && p != id {
			s.follows = p
		}
		f.replicate(s)
	}
}

func (f *fakeGroup) highest() chervilladder.Ballot {
	var b chervilladder.Ballot
	for _, s := range f.members {
		if s.reachable() && s.ballot.Term > b.Term {
			b = s.ballot
		}
	}
	return b
}

func (f *fakeGroup) replicate(s *fakeState) {
	p := f.members[s.follows]
	if p == nil || !p.reachable() || p.role != chervilladder.RolePrimary || p.ballot.Term != s.ballot.Term {
		return
	}
	s.lastContact, p.lastContact = time.Now(), time.Now()
	if !s.lags {
		s.log, s.logTerm = slices.Clone(p.log), p.logTerm
	}
}

func (s *fakeState) reachable() bool { return !s.down && !s.frozen && !s.cutOff }

func (s *fakeState) accept(b chervilladder.Ballot) {
	if b == s.ballot {
		return
	}
	s.ballot, s.role, s.follows, s.lastContact = b, chervilladder.RoleReplica, "", time.Time{}
}

func (s *fakeState) status(id chervilladder.UpstreamID) chervilladder.MemberStatus {
	sinceContact := -time.Millisecond
	if !s.lastContact.IsZero() {
		sinceContact = time.Since(s.lastContact)
	}
	end := chervilladder.Position(len(s.log))
	return chervilladder.MemberStatus{
		Upstream: id, Role: s.role, Term: s.ballot.Term, LogTerm: s.logTerm,
		Received: end, Replayed: end, SinceContact: sinceContact, Claim: s.claim, Holder: s.holder,
	}
}

func (f *fakeGroup) change(id chervilladder.UpstreamID, do func(*fakeState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.members[id])
}

// write appends an entry at a member that is primary under a claim.
func (f *fakeGroup) write(id chervilladder.UpstreamID, term chervilladder.Term, claim chervilladder.Claim) (entry, chervilladder.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.members[id]
	if s == nil || s.down || s.frozen || s.role != chervilladder.RolePrimary || s.ballot.Term != term || s.claim != claim {
		return 0, 0, false
	}
	f.next++
	s.log = append(slices.Clone(s.log), f.next)
	return f.next, chervilladder.Position(len(s.log)), true
}

// primary returns the primary of the highest term.
func (f *fakeGroup) primary() (chervilladder.UpstreamID, fakeState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best chervilladder.UpstreamID
	var state fakeState
	for id, s := range f.members {
		if s.role == chervilladder.RolePrimary && !s.down && s.ballot.Term > state.ballot.Term {
			best, state = id, *s
		}
	}
	return best, state
}

// dial returns the dialer of one VM, which can't reach some members.
func (f *fakeGroup) dial(unreachable ...chervilladder.UpstreamID) Dialer {
	return func(_ context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.members[u.ID]; s == nil || s.down || slices.Contains(unreachable, u.ID) {
			return nil, errFake
		}
		return &fakeMember{group: f, id: u.ID}, nil
	}
}

// fakeMember is a connection to a member.
type fakeMember struct {
	group *fakeGroup
	id    chervilladder.UpstreamID
}

func (m *fakeMember) call(ctx context.Context, name string, do func(*fakeState) error) (chervilladder.MemberStatus, error) {
	f := m.group
	f.mu.Lock()
	delay := f.delay(name, m.id)
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	s := f.members[m.id]
	if s.frozen {
		f.mu.Unlock()
		<-ctx.Done()
		return chervilladder.MemberStatus{}, ctx.Err()
	}
	defer f.mu.Unlock()
	if s.down {
		return chervilladder.MemberStatus{}, errFake
	}
	if err := do(s); err != nil {
		return chervilladder.MemberStatus{}, err
	}
	if f.losses[name] > 0 {
		f.losses[name]--
		return chervilladder.MemberStatus{}, errFake
	}
	return s.status(m.id), nil
}

func (f *fakeGroup) delay(call string, id chervilladder.UpstreamID) time.Duration {
	if f.delayOf == nil {
		return 0
	}
	return f.delayOf(call, id)
}

// setDelay sets the function that returns the delay of each call.
func (f *fakeGroup) setDelay(delay func(call string, id chervilladder.UpstreamID) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayOf = delay
}

// lose makes the next n responses to a call get lost.
func (f *fakeGroup) lose(call string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losses[call] = n
}

func (m *fakeMember) Status(ctx context.Context) (chervilladder.MemberStatus, error) {
	return m.call(ctx, "status", func(*fakeState) error { return nil })
}

// fakeClaims is the number of claims in the range of a term.
const fakeClaims = 1 << 20

func (m *fakeMember) TakeClaim(ctx context.Context, vm chervilladder.VMID) (chervilladder.MemberStatus, error) {
	return m.call(ctx, "claim", func(s *fakeState) error {
		if s.role != chervilladder.RolePrimary {
			return errFake
		}
		s.claim = max(s.claim, chervilladder.Claim(s.ballot.Term)*fakeClaims) + 1
		s.holder = vm
		return nil
	})
}

func (m *fakeMember) AcceptTerm(ctx context.Context, b chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.call(ctx, "accept", func(s *fakeState) error {
		if b.Term < s.ballot.Term || b.Term == s.ballot.Term && b.Attempt != s.ballot.Attempt {
			return &chervilladder.TermRefusedError{Upstream: m.id, Term: s.ballot.Term}
		}
		s.accept(b)
		return nil
	})
}

func (m *fakeMember) Promote(ctx context.Context, b chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.call(ctx, "promote", func(s *fakeState) error {
		if b != s.ballot {
			return &chervilladder.TermRefusedError{Upstream: m.id, Term: s.ballot.Term}
		}
		if p := m.group.promoted[b.Term]; p != "" && p != m.id {
			m.group.twoPrimaries = true
		}
		m.group.promoted[b.Term] = m.id
		s.role, s.logTerm, s.lastContact = chervilladder.RolePrimary, b.Term, time.Time{}
		return nil
	})
}

func (m *fakeMember) Follow(ctx context.Context, b chervilladder.Ballot, primary chervilladder.UpstreamID) error {
	_, err := m.call(ctx, "follow", func(s *fakeState) error {
		if b.Term < s.ballot.Term {
			return &chervilladder.TermRefusedError{Upstream: m.id, Term: s.ballot.Term}
		}
		s.accept(b)
		s.follows = primary
		return nil
	})
	return err
}

func (m *fakeMember) Close() {}
