// Package metrics counts what a VM does, for expvar.
package metrics

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// Callers counts the connections of a listener that are open.
type Callers struct {
	net.Listener
	// Connected is the number of open connections.
	Connected *expvar.Int
}

// Accept returns the next connection, which is counted until it is closed.
func (c Callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.Connected.Add(1)
	return &countedConn{Conn: conn, connected: c.Connected}, nil
}

type countedConn struct {
	net.Conn
	connected *expvar.Int
	closed    sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.connected.Add(-1) })
	return c.Conn.Close()
}

// The outcomes of work. Work that was not run is counted by its reason too.
const (
	outcomeDone    = "done"
	outcomeUnknown = "unknown"
	outcomeLost    = "lost"
	outcomeNotRun  = "not-run"
)

// Work counts the work of an executor by its outcome.
type Work struct {
	chervilladder.Executor
	Outcomes *expvar.Map
}

var _ chervilladder.Executor = Work{}

// Open opens an exchange, which is counted when its work ends.
func (w Work) Open(ctx context.Context, work chervilladder.Work) (chervilladder.Exchange, error) {
	x, err := w.Executor.Open(ctx, work)
	if err != nil {
		w.Outcomes.Add(outcomeOf(err), 1)
		return nil, err
	}
	return &exchange{Exchange: x, outcomes: w.Outcomes}, nil
}

type exchange struct {
	chervilladder.Exchange
	outcomes *expvar.Map
	failed   bool
}

// Send passes on a batch.
func (x *exchange) Send(b chervilladder.Batch) error {
	return x.note(x.Exchange.Send(b))
}

// Recv returns the next part of the answer.
func (x *exchange) Recv() (chervilladder.Reply, error) {
	r, err := x.Exchange.Recv()
	if err == nil && r.Last && !r.Open {
		x.outcomes.Add(outcomeDone, 1)
	}
	return r, x.note(err)
}

// note counts the error that ends an exchange once.
func (x *exchange) note(err error) error {
	if err != nil && !x.failed {
		x.failed = true
		x.outcomes.Add(outcomeOf(err), 1)
	}
	return err
}

func outcomeOf(err error) string {
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	switch {
	case errors.As(err, &notRun):
		return outcomeNotRun + "-" + string(notRun.Reason)
	case errors.As(err, &unknown):
		return outcomeUnknown
	default:
		return outcomeLost
	}
}
