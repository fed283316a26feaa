// Package route forwards work to the VM that owns its database.
package route

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// Config configures an Executor.
type Config struct {
	Board  *blackboard.Board
	Local  chervilladder.Executor
	Remote chervilladder.Remote
}

// Executor runs work here if this VM owns the database, and at the owner otherwise.
// Work that a VM refused because it isn't the owner is sent to the current owner, until
// its deadline.
type Executor struct {
	Config
	// budgets are the retry budgets for sending work to the same owner again.
	budgets blackboard.Table[chervilladder.DatabaseID, retry.Budget]
}

// New returns an executor.
func New(c Config) *Executor {
	return &Executor{Config: c}
}

var _ chervilladder.Executor = (*Executor)(nil)

// Open prepares an exchange. The owner is chosen when the first batch is
// sent.
func (e *Executor) Open(ctx context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	return &exchange{executor: e, ctx: ctx, work: w}, nil
}

func (e *Executor) owner(db chervilladder.DatabaseID) chervilladder.VMID {
	return e.Board.Owners.Load().ByDatabase[db]
}

func (e *Executor) open(ctx context.Context, w chervilladder.Work, owner chervilladder.VMID) (chervilladder.Exchange, error) {
	switch owner {
	case "":
		return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNoOwner}
	case e.Board.Self.ID:
		return e.Local.Open(ctx, w)
	default:
		return e.Remote.Open(ctx, owner, w)
	}
}

// ownerPoll is the mean wait for a new owner when no change is announced.
const ownerPoll = 100 * time.Millisecond

// awaitOwner waits until ownership may have changed.
func (e *Executor) awaitOwner(ctx context.Context, deadline time.Time) error {
	_, changed := e.Board.Owners.Watch()
	wait := time.NewTimer(min(retry.Jitter(ownerPoll), time.Until(deadline)))
	defer wait.Stop()
	select {
	case <-changed:
		return nil
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waitsWithoutBudget: while the retry budget is spent, work is sent to the same owner
// again only after every waitsWithoutBudget-th wait. Without that, work for an owner that
// observes its ownership late would wait until its deadline.
const waitsWithoutBudget = 2

// awaitRetry waits until work may be sent again after an owner did not run it: at once
// to a new owner, to the same one after a wait, which is longer while the retry budget
// is spent.
func (e *Executor) awaitRetry(ctx context.Context, w chervilladder.Work, from chervilladder.VMID) error {
	budget := e.budgets.Get(w.Database)
	for waits := 1; ; waits++ {
		if to := e.owner(w.Database); to != "" && to != from {
			return nil
		}
		if err := e.awaitOwner(ctx, w.Deadline); err != nil {
			return err
		}
		if !time.Now().Before(w.Deadline) {
			return context.DeadlineExceeded
		}
		if e.owner(w.Database) != from || from == "" {
			continue
		}
		if waits%waitsWithoutBudget == 0 || budget.Spend() {
			return nil
		}
	}
}

// retryable reports whether an error says that the work did not run and that the
// current owner may run it.
func retryable(err error) bool {
	var e *chervilladder.NotRunError
	if !errors.As(err, &e) {
		return false
	}
	return e.Reason == chervilladder.ReasonNoOwner || e.Reason == chervilladder.ReasonNotOwner
}
