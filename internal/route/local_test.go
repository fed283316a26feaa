package route

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// executorStub calls before, then opens an exchange.
type executorStub struct{ before func() error }

func (e executorStub) Open(context.Context, chervilladder.Work) (chervilladder.Exchange, error) {
	if err := e.before(); err != nil {
		return nil, err
	}
	return exchangeStub{}, nil
}

type exchangeStub struct{ chervilladder.Exchange }

func (exchangeStub) Close() {}

func TestLocalCountsWorkInFlight(t *testing.T) {
	is := is.New(t)
	b := blackboard.New(chervilladder.VM{ID: "vm-1"})
	inFlight := &b.Databases.Get("x").InFlight
	errRefused := errors.New("refused")
	var refusal error
	l := NewLocal(LocalConfig{Board: b, Executor: executorStub{before: func() error {
		is.Equal(inFlight.Count(), 1) // counted before it is opened
		return refusal
	}}})
	work := chervilladder.Work{Database: "x"}

	_, err := l.Open(t.Context(), work)
	var notRun *chervilladder.NotRunError
	is.True(errors.As(err, &notRun))
	is.Equal(notRun.Reason, chervilladder.ReasonNotOwner)

	b.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{"x": "vm-1"}})
	x, err := l.Open(t.Context(), work)
	is.NoErr(err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(inFlight.AwaitNone(ended), context.Canceled))
	x.Close()
	x.Close()
	is.Equal(inFlight.Count(), 0)
	is.NoErr(inFlight.AwaitNone(t.Context()))

	refusal = errRefused
	_, err = l.Open(t.Context(), work)
	is.True(errors.Is(err, errRefused))
	is.Equal(inFlight.Count(), 0)
}
