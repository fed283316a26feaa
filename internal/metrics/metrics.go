// Package metrics counts a VM's open connections and the outcomes of its work
// in expvar variables.
package metrics

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// CountingListener is a listener that counts its open connections.
type CountingListener struct {
	net.Listener
	// Connected is the number of open connections.
	Connected *expvar.Int
}

// Accept returns the next connection and counts it until it is closed.
func (c CountingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.Connected.Add(1)
	return &countedConn{Conn: conn, open: c.Connected}, nil
}

type countedConn struct {
	net.Conn
	open   *expvar.Int
	closed sync.Once
}

// Close closes the connection and stops counting it.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// The outcomes of work. For work that was not run, the reason is appended.
const (
	outcomeDone     = "done"
	outcomeUnknown  = "unknown"
	outcomeDoneLost = "done-answer-lost"
	outcomeLost     = "lost"
	outcomeNotRun   = "not-run"
)

// CountingExecutor is an executor that counts work by its outcome.
type CountingExecutor struct {
	chervilladder.Executor
	Outcomes *expvar.Map
}

var _ chervilladder.Executor = CountingExecutor{}

// Open opens an exchange. It counts the error if that fails.
func (c CountingExecutor) Open(ctx context.Context, work chervilladder.Work) (chervilladder.Exchange, error) {
	x, err := c.Executor.Open(ctx, work)
	if err != nil {
		c.Outcomes.Add(outcomeOf(err), 1)
		return nil, err
	}
	return &exchange{Exchange: x, outcomes: c.Outcomes}, nil
}

type exchange struct {
	chervilladder.Exchange
	outcomes *expvar.Map
	failed   bool
}

// Send sends a batch.
func (x *exchange) Send(b chervilladder.Batch) error {
	return x.countError(x.Exchange.Send(b))
}

// Recv returns the next part of the answer. It counts the work as done with the
// part that ends its transaction.
func (x *exchange) Recv() (chervilladder.Reply, error) {
	r, err := x.Exchange.Recv()
	if err == nil && r.Last && !r.Open {
		x.outcomes.Add(outcomeDone, 1)
	}
	return r, x.countError(err)
}

// countError counts the first error of an exchange and returns err.
func (x *exchange) countError(err error) error {
	if err != nil && !x.failed {
		x.failed = true
		x.outcomes.Add(outcomeOf(err), 1)
	}
	return err
}

func outcomeOf(err error) string {
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	var done *chervilladder.DoneError
	switch {
	case errors.As(err, &notRun):
		return outcomeNotRun + "-" + string(notRun.Reason)
	case errors.As(err, &unknown):
		return outcomeUnknown
	case errors.As(err, &done):
		return outcomeDoneLost
	default:
		return outcomeLost
	}
}
