package group

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

const databaseID chervilladder.DatabaseID = "ledger"

// betweenHeartbeats shifts the times at which statuses are counted away from the
// heartbeats.
const betweenHeartbeats = 50 * time.Millisecond

// errDown is the error of a member that is down.
var errDown = errors.New("connection refused")

// idleGroup is a group of three members, of which one can be down.
type idleGroup struct {
	mu        sync.Mutex
	statuses  map[chervilladder.UpstreamID]int
	primary   chervilladder.UpstreamID
	term      chervilladder.Term
	down      chervilladder.UpstreamID
	downSince time.Time
}

func newIdleGroup() *idleGroup {
	return &idleGroup{statuses: make(map[chervilladder.UpstreamID]int), primary: "a", term: 1}
}

func (g *idleGroup) kill(id chervilladder.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down, g.downSince = id, time.Now()
}

// takeCounts returns the number of status requests to each member since the
// last call.
func (g *idleGroup) takeCounts() map[chervilladder.UpstreamID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.statuses
	g.statuses = make(map[chervilladder.UpstreamID]int)
	return counts
}

func (g *idleGroup) dial(_ context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.ID == g.down {
		return nil, errDown
	}
	return &idleMember{group: g, id: u.ID}, nil
}

// idleMember is a connection to a member.
type idleMember struct {
	group *idleGroup
	id    chervilladder.UpstreamID
}

func (m *idleMember) Status(context.Context) (chervilladder.MemberStatus, error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.statuses[m.id]++
	return m.status()
}

func (m *idleMember) status() (chervilladder.MemberStatus, error) {
	g := m.group
	if m.id == g.down {
		return chervilladder.MemberStatus{}, errDown
	}
	s := chervilladder.MemberStatus{Upstream: m.id, Role: chervilladder.RoleReplica, Term: g.term, LogTerm: g.term}
	if m.id == g.primary {
		s.Role, s.Claim, s.Holder = chervilladder.RolePrimary, 1, "vm-1"
	}
	if g.primary == g.down {
		s.SinceContact = time.Since(g.downSince)
	}
	return s, nil
}

// TakeClaim returns the member's status without a change of the claim.
func (m *idleMember) TakeClaim(ctx context.Context, _ chervilladder.VMID) (chervilladder.MemberStatus, error) {
	return m.Status(ctx)
}

// AcceptTerm returns the member's status without accepting the term.
func (m *idleMember) AcceptTerm(ctx context.Context, _ chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.Status(ctx)
}

// Promote makes the member the primary.
func (m *idleMember) Promote(_ context.Context, b chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.primary, m.group.term = m.id, b.Term
	return m.status()
}

func (m *idleMember) Follow(context.Context, chervilladder.Ballot, chervilladder.UpstreamID) error {
	return nil
}

func (m *idleMember) Close() {}

// supervise runs a controller for the group until the test ends.
func supervise(t *testing.T, g *idleGroup) *blackboard.Database {
	t.Helper()
	is := is.New(t)
	board := blackboard.New(chervilladder.VM{ID: "vm-1"})
	db := &chervilladder.Database{ID: databaseID}
	for _, id := range []chervilladder.UpstreamID{"a", "b", "c"} {
		db.Upstreams = append(db.Upstreams, chervilladder.Upstream{ID: id, Database: databaseID, Slots: 1})
	}
	board.Catalogue.Store(&chervilladder.Catalogue{Databases: map[chervilladder.DatabaseID]*chervilladder.Database{databaseID: db}})
	board.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{databaseID: "vm-1"}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(Config{Board: board, Dial: g.dial, Log: log})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-done)
	})
	state := board.Databases.Get(databaseID)
	_, err = state.Await(ctx, blackboard.Group.Open)
	is.NoErr(err)
	return state
}

func TestHeartbeatOfIdleDatabase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newIdleGroup()
		state := supervise(t, g)
		time.Sleep(5*time.Second + betweenHeartbeats)
		g.takeCounts()
		time.Sleep(4 * time.Second)
		for _, n := range g.takeCounts() {
			is.Equal(n, 20) // in use: one each 200 ms
		}
		time.Sleep(10 * time.Second)
		g.takeCounts()
		time.Sleep(60 * time.Second)
		counts := g.takeCounts()
		is.Equal(len(counts), 3)
		for _, n := range counts {
			is.Equal(n, 60) // idle: one each second
		}
		state.Polls.Request()
		time.Sleep(time.Second)
		for _, n := range g.takeCounts() {
			is.True(n >= 5) // in use again
		}
	})
}

func TestPrimaryOfIdleDatabaseIsReplaced(t *testing.T) {
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 999 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newIdleGroup()
			state := supervise(t, g)
			time.Sleep(30*time.Second + offset)
			killed := time.Now()
			g.kill("a")
			got, err := state.Await(t.Context(), func(g blackboard.Group) bool { return g.Open() && g.Primary != "a" })
			is.NoErr(err)
			is.True(got.Term > 1)
			gap := time.Since(killed)
			t.Logf("offset %s: gap %s", offset, gap)
			is.True(gap <= 1900*time.Millisecond) // idle heartbeat, SuspectAfter and one assessment
		})
	}
}

// A failing member must be polled again after Heartbeat, even if the database
// was idle: it must fail again before the failure counts.
func TestFailingMemberOfIdleDatabaseIsPolledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newIdleGroup()
		state := supervise(t, g)
		time.Sleep(30 * time.Second)
		g.kill("b")
		_, err := state.Await(t.Context(), func(g blackboard.Group) bool { return g.Members["b"].Err != nil })
		is.NoErr(err)
		failed := time.Now()
		g.kill("")
		_, err = state.Await(t.Context(), func(g blackboard.Group) bool { return g.Members["b"].Err == nil })
		is.NoErr(err)
		is.Equal(time.Since(failed), 200*time.Millisecond)
	})
}
