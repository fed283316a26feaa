package group_test

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// noSessions implements standin.Sessions without any session.
type noSessions struct{}

func (noSessions) EndBelow(chervilladder.Claim, chervilladder.VMID) {}

func (noSessions) OpenCount() int { return 0 }

func newKeeper(t *testing.T) *group.Keeper {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	board := state.New(state.Settings{})
	db, err := engine.New(engine.Config{Primary: board.Primary})
	if err != nil {
		t.Fatal(err)
	}
	k, err := group.New(group.Config{
		Name: "a", Peers: group.Addresses{"b": ""}, Board: board, DB: db, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	k.SetSessions(noSessions{})
	return k
}

// tryCommit returns the term in which Commit calls its function, or the code of
// the error that it returns.
func tryCommit(k *group.Keeper, claim chervilladder.Claim) any {
	var term chervilladder.Term
	err := k.Commit(claim, func(t chervilladder.Term) error {
		term = t
		return nil
	})
	if err != nil {
		return code(err)
	}
	return term
}

func code(err error) pgerror.Code {
	var e *pgerror.Error
	errors.As(err, &e)
	return e.Code
}

func TestCommitIsFencedByRoleAndClaim(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t)
	is.Equal(tryCommit(k, 0), pgerror.ReadOnly)
	ballot := chervilladder.Ballot{Term: 4, Attempt: "x"}
	_, err := k.Accept(ballot)
	is.NoErr(err)
	is.Equal(tryCommit(k, 0), pgerror.ReadOnly)
	_, err = k.Promote(ballot)
	is.NoErr(err)
	is.Equal(tryCommit(k, 0), chervilladder.Term(4))

	first, err := k.Claim("vm-1")
	is.NoErr(err)
	is.Equal(tryCommit(k, first.Claim), chervilladder.Term(4))
	second, err := k.Claim("vm-2")
	is.NoErr(err)
	is.Equal(second.Claim, first.Claim+1)
	is.Equal(tryCommit(k, first.Claim), pgerror.AdminShutdown)
	is.Equal(code(k.CheckClaim(first.Claim)), pgerror.ClaimLost)
	is.Equal(code(k.CheckClaim(second.Claim+1)), pgerror.ClaimLost)
	is.NoErr(k.CheckClaim(second.Claim))

	_, err = k.Accept(chervilladder.Ballot{Term: 5, Attempt: "y"})
	is.NoErr(err)
	is.Equal(tryCommit(k, second.Claim), pgerror.ReadOnly)
	_, err = k.Promote(chervilladder.Ballot{Term: 5, Attempt: "y"})
	is.NoErr(err)
	third, err := k.Claim("vm-1")
	is.NoErr(err)
	is.Equal(third.Claim, chervilladder.Claim(5<<20+1))
}

func TestBallotsAreRefused(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t)
	_, err := k.Accept(chervilladder.Ballot{Term: 4, Attempt: "x"})
	is.NoErr(err)
	for _, b := range []chervilladder.Ballot{{Term: 3, Attempt: "x"}, {Term: 4, Attempt: "y"}} {
		_, err := k.Accept(b)
		is.Equal(code(err), pgerror.TermRefused)
		_, err = k.Promote(b)
		is.Equal(code(err), pgerror.TermRefused)
		_, err = k.Follow(b, "b")
		is.Equal(code(err), pgerror.TermRefused)
	}
	_, err = k.Promote(chervilladder.Ballot{Term: 5, Attempt: "x"})
	is.Equal(code(err), pgerror.TermRefused)
	_, err = k.Accept(chervilladder.Ballot{Term: 5})
	is.Equal(code(err), pgerror.InvalidParameter)
	_, err = k.Follow(chervilladder.Ballot{Term: 5, Attempt: "x"}, "a")
	is.Equal(code(err), pgerror.InvalidParameter)
	_, err = k.Follow(chervilladder.Ballot{Term: 5, Attempt: "x"}, "b")
	is.NoErr(err)
	_, err = k.Promote(chervilladder.Ballot{Term: 5, Attempt: "x"})
	is.Equal(code(err), pgerror.InvalidParameter) // The term has a primary.
	is.Equal(k.Status().Term, chervilladder.Term(5))
}
