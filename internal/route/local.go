package route

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// LocalConfig says what a Local works with.
type LocalConfig struct {
	Board    *blackboard.Board
	Executor chervilladder.Executor
}

// Local runs work on the databases that this VM owns, and counts what is in
// flight, so that a VM that hands a database over knows when it is done.
type Local struct {
	LocalConfig
}

// NewLocal returns a local executor.
func NewLocal(c LocalConfig) *Local {
	return &Local{LocalConfig: c}
}

var _ chervilladder.Executor = (*Local)(nil)

// Open takes work in if this VM owns the database. The owner is looked up
// after the work is counted: once another VM is the owner and nothing is in
// flight, nothing can follow.
func (l *Local) Open(ctx context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	if !l.owns(w.Database) {
		return nil, notOwner(w.Database)
	}
	inFlight := &l.Board.Databases.Get(w.Database).InFlight
	inFlight.Begin()
	if !l.owns(w.Database) {
		inFlight.End()
		return nil, notOwner(w.Database)
	}
	x, err := l.Executor.Open(ctx, w)
	if err != nil {
		inFlight.End()
		return nil, err
	}
	return &localExchange{Exchange: x, inFlight: inFlight}, nil
}

func (l *Local) owns(db chervilladder.DatabaseID) bool {
	return l.Board.Owners.Load().ByDatabase[db] == l.Board.Self.ID
}

func notOwner(db chervilladder.DatabaseID) error {
	return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonNotOwner}
}

type localExchange struct {
	chervilladder.Exchange
	inFlight *blackboard.InFlight
	closed   bool
}

// Close ends the exchange.
func (x *localExchange) Close() {
	x.Exchange.Close()
	if !x.closed {
		x.closed = true
		x.inFlight.End()
	}
}
