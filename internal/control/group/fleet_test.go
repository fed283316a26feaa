package group

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

const ledger chervilladder.DatabaseID = "ledger"

// fleet is a fake group and the VMs that supervise it.
type fleet struct {
	t      *testing.T
	group  *fakeGroup
	boards []*blackboard.Board
	ctx    context.Context
	wait   sync.WaitGroup

	mu    sync.Mutex
	acked []entry
}

// testFleet runs a test in a synctest bubble with a group of the given members.
func testFleet(t *testing.T, ids []chervilladder.UpstreamID, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fleet{t: t, group: newFakeGroup(ids...), ctx: ctx}
		defer f.wait.Wait()
		defer stop()
		f.wait.Go(func() { f.group.run(ctx) })
		test(f)
		stop()
		f.wait.Wait()
		f.check()
	})
}

// add starts a VM that considers itself the owner.
func (f *fleet) add(vm chervilladder.VMID, dial Dialer) *blackboard.Board {
	board := blackboard.New(chervilladder.VM{ID: vm})
	f.boards = append(f.boards, board)
	f.configure(board, f.ids()...)
	setOwner(board, vm)
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(f.t.Output())
		log.SetLevel(logrus.DebugLevel)
	}
	c, err := New(Config{Board: board, Dial: dial, Log: log})
	is.New(f.t).NoErr(err)
	f.wait.Go(func() { _ = c.Run(f.ctx) })
	f.wait.Go(func() { f.write(f.ctx, board) })
	return board
}

func (f *fleet) ids() []chervilladder.UpstreamID {
	var ids []chervilladder.UpstreamID
	for id := range f.group.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// configure stores a catalogue in which the database has the given members.
func (f *fleet) configure(board *blackboard.Board, ids ...chervilladder.UpstreamID) {
	db := &chervilladder.Database{ID: ledger}
	for _, id := range ids {
		db.Upstreams = append(db.Upstreams, chervilladder.Upstream{ID: id, Address: chervilladder.Address(id), Slots: 1})
	}
	f.publish(board, db)
}

func (f *fleet) publish(board *blackboard.Board, db *chervilladder.Database) {
	board.Catalogue.Store(&chervilladder.Catalogue{
		Databases: map[chervilladder.DatabaseID]*chervilladder.Database{ledger: db},
	})
}

func setOwner(board *blackboard.Board, vm chervilladder.VMID) {
	board.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{ledger: vm}})
}

// write writes continuously, and records the writes that may be acknowledged
// since a replica has confirmed them.
func (f *fleet) write(ctx context.Context, board *blackboard.Board) {
	state := board.Databases.Get(ledger)
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		g := state.Group.Load()
		if !g.Open() || !f.granted(state) {
			continue
		}
		if e, p, ok := f.group.write(g.Primary, g.Term, g.Claim); ok {
			f.wait.Go(func() { f.confirm(ctx, state, g, e, p) })
		}
	}
}

// granted reports whether a write gets a slot without waiting.
func (f *fleet) granted(state *blackboard.Database) bool {
	ticket := &schedule.Ticket{Priority: chervilladder.PriorityUrgent, Class: "filing", Deadline: time.Now().Add(time.Second)}
	if err := state.Queue.Submit(ticket); err != nil {
		return false
	}
	select {
	case <-ticket.Granted():
		state.Queue.Release(ticket)
		return true
	default:
		state.Queue.Withdraw(ticket)
		return false
	}
}

func (f *fleet) confirm(ctx context.Context, state *blackboard.Database, under blackboard.Group, e entry, p chervilladder.Position) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	poll := state.Polls.Request()
	verdict := proof.Pending
	_, err := state.Await(ctx, func(g blackboard.Group) bool {
		verdict = proof.Current(g, under.Term, under.Claim, poll)
		return verdict == proof.Broken || verdict == proof.Holds && proof.Confirmed(g, p)
	})
	if err != nil || verdict != proof.Holds {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked = append(f.acked, e)
}

// awaitOpen waits until the database of a board is open with the primary of the
// highest term, and returns that primary and the time this took.
func (f *fleet) awaitOpen(board *blackboard.Board, except ...chervilladder.UpstreamID) (chervilladder.UpstreamID, time.Duration) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		id, s := f.group.primary()
		g := board.Databases.Get(ledger).Group.Load()
		if g.Open() && g.Primary == id && g.Term == s.ballot.Term && g.Claim == s.claim && !slices.Contains(except, id) {
			return id, time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("the database is not open for work after a minute: %+v", board.Databases.Get(ledger).Group.Load())
	return "", 0
}

// terms returns the number of terms in which a member was promoted.
func (f *fleet) terms() int {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return len(f.group.promoted)
}

// check fails if a term had two primaries or an acknowledged write was lost.
func (f *fleet) check() {
	is := is.New(f.t)
	is.True(!f.group.twoPrimaries) // two primaries in one term
	_, s := f.group.primary()
	for _, e := range f.acked {
		if !slices.Contains(s.log, e) {
			f.t.Fatalf("acknowledged write %d is lost", e)
		}
	}
	f.t.Logf("%d writes acknowledged, %d terms", len(f.acked), len(f.group.promoted))
}
