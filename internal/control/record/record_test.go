package record

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/platformtest"
)

const ledger chervilladder.DatabaseID = "ledger"

// run starts a controller on a VM that considers itself the owner.
func run(ctx context.Context, t *testing.T, store *platformtest.Store, vm chervilladder.VMID) *blackboard.Board {
	board := blackboard.New(chervilladder.VM{ID: vm})
	board.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{ledger: vm}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(Config{Board: board, Platform: store, Log: log})
	is.New(t).NoErr(err)
	go func() { _ = c.Run(ctx) }()
	return board
}

func setGroup(board *blackboard.Board, primary chervilladder.UpstreamID, term chervilladder.Term, claim chervilladder.Claim) {
	board.Databases.Get(ledger).Group.Store(blackboard.Group{Primary: primary, Term: term, Claim: claim})
}

func stored(t *testing.T, store *platformtest.Store) Record {
	t.Helper()
	store.SetFaults(platformtest.Faults{})
	o, err := store.Get(t.Context(), chervilladder.KindGroup, chervilladder.ObjectName(ledger))
	is.New(t).NoErr(err)
	return decode(o)
}

func TestWritesNewerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := platformtest.New()
		board := run(ctx, t, store, "vm-1")
		setGroup(board, "a", 3, 7)
		time.Sleep(2 * time.Second)
		r := stored(t, store)
		is.Equal(r.Primary, chervilladder.UpstreamID("a"))
		is.Equal(r.Owner, chervilladder.VMID("vm-1"))
		for _, older := range []chervilladder.Claim{7, 6} {
			setGroup(board, "b", 3, older)
			time.Sleep(2 * time.Second)
			is.Equal(stored(t, store).Primary, chervilladder.UpstreamID("a"))
		}
		setGroup(board, "b", 2, 99)
		time.Sleep(2 * time.Second)
		is.Equal(stored(t, store).Term, chervilladder.Term(3))
		setGroup(board, "b", 4, 8)
		time.Sleep(2 * time.Second)
		is.Equal(stored(t, store).Primary, chervilladder.UpstreamID("b"))
		calls := store.Calls()
		time.Sleep(time.Hour)
		is.Equal(store.Calls(), calls) // no calls while there is nothing to write
	})
}

func TestFaultsOfThePlatform(t *testing.T) {
	cases := map[string]platformtest.Faults{
		"down":          {Down: true},
		"slow":          {Delay: time.Minute},
		"lost response": {LoseResponses: 1},
		"lost put":      {LosePuts: 3},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := platformtest.New()
				board := run(ctx, t, store, "vm")
				store.SetFaults(faults)
				setGroup(board, "a", 3, 7)
				time.Sleep(time.Hour)
				t.Logf("%d calls in an hour", store.Calls())
				is.True(store.Calls() < 300) // the backoff grows to half a minute
				store.SetFaults(platformtest.Faults{})
				time.Sleep(time.Minute)
				is.Equal(stored(t, store).Term, chervilladder.Term(3))
			})
		})
	}
}

// TestLostAnswerIsRecognised checks that a record is written once although the
// response to the write is lost.
func TestLostAnswerIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := platformtest.New()
		board := run(ctx, t, store, "vm")
		store.SetFaults(platformtest.Faults{LoseResponses: 1})
		setGroup(board, "a", 3, 7)
		time.Sleep(time.Minute)
		o, err := store.Get(t.Context(), chervilladder.KindGroup, chervilladder.ObjectName(ledger))
		is.NoErr(err)
		is.Equal(o.Version, chervilladder.Version(1))
		is.Equal(store.Calls(), 4) // get, put, retried put with a conflict, and the get of this test
	})
}

// TestTwoVMs checks that the record never goes back to an older one while two VMs
// with different views of the group write it at the same time.
func TestTwoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := platformtest.New()
		one, two := run(ctx, t, store, "vm-1"), run(ctx, t, store, "vm-2")
		var last Record
		for step := range chervilladder.Claim(50) {
			setGroup(one, "a", 3, 10+step)
			setGroup(two, "b", 4, 5+step/2)
			time.Sleep(300 * time.Millisecond)
			o, err := store.Get(t.Context(), chervilladder.KindGroup, chervilladder.ObjectName(ledger))
			if err != nil {
				continue
			}
			r := decode(o)
			is.True(!last.Newer(r)) // never goes back
			last = r
		}
		time.Sleep(time.Minute)
		r := stored(t, store)
		is.Equal(r.Owner, chervilladder.VMID("vm-2"))
		is.Equal(r.Claim, chervilladder.Claim(29))
	})
}
