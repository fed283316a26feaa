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

// run starts a controller on a VM that takes itself for the owner.
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

func sees(board *blackboard.Board, primary chervilladder.UpstreamID, term chervilladder.Term, claim chervilladder.Claim) {
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
		sees(board, "a", 3, 7)
		time.Sleep(2 * time.Second)
		r := stored(t, store)
		is.Equal(r.Primary, chervilladder.UpstreamID("a"))
		is.Equal(r.Owner, chervilladder.VMID("vm-1"))
		for _, older := range []chervilladder.Claim{7, 6} {
			sees(board, "b", 3, older)
			time.Sleep(2 * time.Second)
			is.Equal(stored(t, store).Primary, chervilladder.UpstreamID("a"))
		}
		sees(board, "b", 2, 99)
		time.Sleep(2 * time.Second)
		is.Equal(stored(t, store).Term, chervilladder.Term(3))
		sees(board, "b", 4, 8)
		time.Sleep(2 * time.Second)
		is.Equal(stored(t, store).Primary, chervilladder.UpstreamID("b"))
		calls := store.Calls()
		time.Sleep(time.Hour)
		is.Equal(store.Calls(), calls) // nothing to write, no calls
	})
}

func TestFaultsOfThePlatform(t *testing.T) {
	cases := map[string]platformtest.Faults{
		"down":        {Down: true},
		"slow":        {Delay: time.Minute},
		"lost answer": {LoseAnswers: 1},
		"lost put":    {LosePuts: 3},
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
				sees(board, "a", 3, 7)
				time.Sleep(time.Hour)
				t.Logf("%d calls in an hour", store.Calls())
				is.True(store.Calls() < 300) // the wait grows to half a minute
				store.SetFaults(platformtest.Faults{})
				time.Sleep(time.Minute)
				is.Equal(stored(t, store).Term, chervilladder.Term(3))
			})
		})
	}
}

// TestLostAnswerIsRecognised writes once though the answer is lost.
func TestLostAnswerIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := platformtest.New()
		board := run(ctx, t, store, "vm")
		store.SetFaults(platformtest.Faults{LoseAnswers: 1})
		sees(board, "a", 3, 7)
		time.Sleep(time.Minute)
		o, err := store.Get(t.Context(), chervilladder.KindGroup, chervilladder.ObjectName(ledger))
		is.NoErr(err)
		is.Equal(o.Version, chervilladder.Version(1))
		is.Equal(store.Calls(), 4) // get, put, put again that conflicts, and ours
	})
}

// TestTwoVMs lets two VMs with different views write at the same moments.
func TestTwoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := platformtest.New()
		one, two := run(ctx, t, store, "vm-1"), run(ctx, t, store, "vm-2")
		var last Record
		for step := range chervilladder.Claim(50) {
			sees(one, "a", 3, 10+step)
			sees(two, "b", 4, 5+step/2)
			time.Sleep(300 * time.Millisecond)
			o, err := store.Get(t.Context(), chervilladder.KindGroup, chervilladder.ObjectName(ledger))
			if err != nil {
				continue
			}
			r := decode(o)
			is.True(!last.Newer(r)) // never backwards
			last = r
		}
		time.Sleep(time.Minute)
		r := stored(t, store)
		is.Equal(r.Owner, chervilladder.VMID("vm-2"))
		is.Equal(r.Claim, chervilladder.Claim(29))
	})
}
