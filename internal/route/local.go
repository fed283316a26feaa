package route

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// LocalConfig configures a Local.
type LocalConfig struct {
	Board    *blackboard.Board
	Executor chervilladder.Executor
}

// Local runs work on the databases that this VM owns. It counts the work in flight, so
// that a VM that hands over a database knows when all of it has ended.
type Local struct {
	LocalConfig
}

// NewLocal returns a local executor.
func NewLocal(c LocalConfig) *Local {
	return &Local{LocalConfig: c}
}

var _ chervilladder.Executor = (*Local)(nil)

// Open accepts work if this VM owns the database. It checks the owner again after it
// has counted the work: once another VM is the owner and nothing is in flight, no more
// work can begin here.
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
