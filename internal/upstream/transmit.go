package upstream

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// transmit sends the batch on the connection. If the transaction's id can't be
// had first, the connection has most likely gone silent, and its fellows with
// it: nothing was sent, and fresh ones are used.
func (x *exchange) transmit() error {
	x.conn.setDeadline(time.Now().Add(min(x.grace(), time.Until(x.until))))
	err := x.conn.probe()
	if err == nil {
		err = x.conn.ask(x.trace())
	}
	if err != nil {
		x.dropIdle()
		return x.notRun(x.unsentReason(), err)
	}
	x.conn.setDeadline(x.until.Add(-x.grace()))
	x.sent, x.answering = true, true
	return x.conn.send(x.batch)
}

// unsentReason says why a batch was not sent: the transaction that it belongs
// to, if any, is rolled back with its connection.
func (x *exchange) unsentReason() chervilladder.Reason {
	if x.open {
		return chervilladder.ReasonRolledBack
	}
	return chervilladder.ReasonNoPrimary
}

// dropIdle closes the idle connections that are as old as the lost one.
func (x *exchange) dropIdle() {
	readOnly := x.work.Access == chervilladder.AccessRead && x.conn.claim != 0
	if pool := x.executor.pool(x.work.Database, x.member, readOnly); pool != nil {
		pool.Drop()
	}
}
