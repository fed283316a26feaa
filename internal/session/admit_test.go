package session

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// countingAdmitter admits a number of operations of an account.
type countingAdmitter struct{ left, asked int }

func (a *countingAdmitter) Admit(_ context.Context, id chervilladder.AccountID) error {
	a.asked++
	if id != "tenant-1" || a.left == 0 {
		return &chervilladder.NotRunError{Reason: chervilladder.ReasonQuota, RetryAfter: 70 * time.Millisecond}
	}
	a.left--
	return nil
}

func TestOperationsAreAdmittedByQuota(t *testing.T) {
	is := is.New(t)
	board := blackboard.New(chervilladder.VM{ID: "vm-1"})
	board.Routing.Store(&chervilladder.Routing{Routes: map[chervilladder.DatabaseID]chervilladder.Route{"db": {Database: "db", Service: "s", Timeout: time.Second}}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	admitter := &countingAdmitter{left: 1}
	m, err := New(Config{Board: board, Pools: link.NewPools(link.PoolsConfig{Board: board}), Log: log, Clock: time.Now, Admitter: admitter})
	is.NoErr(err)
	opened, err := m.Open("db", "key")
	is.NoErr(err)
	s := opened.(*session)
	s.identity.Account = "tenant-1"
	do := func(kind chervilladder.CommandKind) chervilladder.Result {
		return s.Do(t.Context(), chervilladder.Command{Kind: kind, ID: "x", Rest: "1a4"})
	}

	// A transaction is one operation.
	is.Equal(do(chervilladder.CommandBegin).Code, chervilladder.CodeNone)
	is.Equal(do(chervilladder.CommandRollback).Code, chervilladder.CodeNone)
	is.Equal(admitter.asked, 1)
	for _, kind := range []chervilladder.CommandKind{chervilladder.CommandBegin, chervilladder.CommandRead, chervilladder.CommandWrite} {
		r := do(kind)
		is.Equal(r.Code, chervilladder.CodeBusy)
		is.Equal(r.Text, "quota; retry after 70 ms")
		is.Equal(r.State, chervilladder.StateIdle)
	}
	is.Equal(admitter.asked, 4)

	// Settings aren't operations, and forwarded work was admitted elsewhere.
	do(chervilladder.CommandSet)
	s.fromPeer = true
	is.Equal(do(chervilladder.CommandBegin).Code, chervilladder.CodeNone)
	is.Equal(admitter.asked, 4)
}
