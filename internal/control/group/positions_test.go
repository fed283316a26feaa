package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/route"
)

// age returns the upper bound on the age of a replica's data.
func age(board *blackboard.Board, id chervilladder.UpstreamID) (time.Duration, bool) {
	state := board.Databases.Get(ledger)
	v := state.Group.Load().Members[id]
	return state.Positions.Load().Age(route.Replayed(v.Status), time.Now())
}

// TestAgeOfReplicas checks the age of replicas' data during replication lag,
// after a failover and without a majority.
func TestAgeOfReplicas(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		is := is.New(t)
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		fresh, known := age(board, "b")
		is.True(known)
		is.True(fresh < 500*time.Millisecond)

		f.group.change("b", func(s *fakeState) { s.lags = true })
		time.Sleep(settled)
		lagging, known := age(board, "b")
		is.True(known)
		is.True(lagging >= settled-100*time.Millisecond) // as old as what it lacks

		f.group.change("b", func(s *fakeState) { s.lags = false })
		f.group.change("a", func(s *fakeState) { s.down = true })
		f.awaitOpen(board, "a")
		time.Sleep(settled)
		for _, id := range []chervilladder.UpstreamID{"b", "c"} {
			after, known := age(board, id)
			is.True(known)
			is.True(after < 500*time.Millisecond)
		}

		f.group.change("c", func(s *fakeState) { s.down = true })
		time.Sleep(settled)
		alone, known := age(board, "b")
		is.True(known)
		is.True(alone >= settled-500*time.Millisecond) // one member can't confirm the primary's position
		f.group.change("c", func(s *fakeState) { s.down = false })
		f.awaitOpen(board)
	})
}

// TestReplicasAreOfferedWithoutPrimary checks that the slots of replicas stay
// usable while there is no majority to promote a primary.
func TestReplicasAreOfferedWithoutPrimary(t *testing.T) {
	s := stoppedSupervisor()
	replica := blackboard.MemberView{Status: chervilladder.MemberStatus{Role: chervilladder.RoleReplica}}
	failing := replica
	failing.Err = errFake
	g := blackboard.Group{Primary: "a", Term: 1}.With("a", failing).With("b", replica).With("c", failing)
	cases := map[chervilladder.Upstream]bool{
		{ID: "a"}:                false, // the primary, which is failing
		{ID: "b"}:                true,
		{ID: "b", Leaving: true}: false,
		{ID: "c"}:                false,
		{ID: "d"}:                false, // no status yet
	}
	for u, offered := range cases {
		is.New(t).Equal(s.offers(g, u), offered)
	}
}
