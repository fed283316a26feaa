package route

import (
	"context"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// exchange runs work at the owner of its database. While it is certain that the work
// hasn't run, it retries it at a new owner.
type exchange struct {
	executor *Executor
	ctx      context.Context
	work     chervilladder.Work
	batch    chervilladder.Batch
	// owner is the VM that the work was last sent to.
	owner chervilladder.VMID

	mu    sync.Mutex // guards inner and cancelled against Cancel
	inner chervilladder.Exchange
	// cancelled is set by Cancel, until the next batch.
	cancelled bool

	first bool // the batch is the first one of the exchange
	begun bool // a part of the current answer was returned
}

// Send sends a batch to the owner.
func (x *exchange) Send(b chervilladder.Batch) error {
	x.batch, x.begun = b, false
	x.mu.Lock()
	x.cancelled = false
	x.mu.Unlock()
	if x.inner != nil {
		x.first = false
		return x.inner.Send(b)
	}
	x.first = true
	return x.retry(x.start())
}

// Recv returns the next part of the answer.
func (x *exchange) Recv() (chervilladder.Reply, error) {
	for {
		r, err := x.inner.Recv()
		if err == nil {
			x.begun = true
			if r.Last {
				x.executor.budgets.Get(x.work.Database).Succeeded()
			}
			return r, nil
		}
		if err := x.retry(err); err != nil {
			return chervilladder.Reply{}, err
		}
	}
}

// retry restarts the work at the current owner for as long as the error says that the
// work did not run. It returns the error that can't be retried, if any.
func (x *exchange) retry(err error) error {
	for err != nil {
		if !x.first || x.begun || !retryable(err) || !time.Now().Before(x.work.Deadline) {
			return err
		}
		x.end()
		if waitErr := x.executor.awaitRetry(x.ctx, x.work, x.owner); waitErr != nil {
			return err
		}
		err = x.start()
	}
	return nil
}

func (x *exchange) start() error {
	x.owner = x.executor.owner(x.work.Database)
	inner, err := x.executor.open(x.ctx, x.work, x.owner)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.inner = inner
	cancelled := x.cancelled
	x.mu.Unlock()
	if cancelled {
		return &chervilladder.NotRunError{Database: x.work.Database, Reason: chervilladder.ReasonCancelled}
	}
	return inner.Send(x.batch)
}

// Cancel asks for the running statement to be stopped.
func (x *exchange) Cancel() {
	x.mu.Lock()
	inner := x.inner
	x.cancelled = true
	x.mu.Unlock()
	if inner != nil {
		inner.Cancel()
	}
}

// Close ends the exchange.
func (x *exchange) Close() {
	x.end()
}

func (x *exchange) end() {
	x.mu.Lock()
	inner := x.inner
	x.inner = nil
	x.mu.Unlock()
	if inner != nil {
		inner.Close()
	}
}
