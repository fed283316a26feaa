package upstream

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// transmit sends the batch on the connection. If the probe before it or the query of the
// transaction's id fails, the connection is most likely lost, and the idle ones with it:
// nothing of the batch was sent, and a retry opens a new connection.
func (x *exchange) transmit() error {
	x.conn.setDeadline(time.Now().Add(min(x.cancelLead(), time.Until(x.batchDeadline))))
	err := x.conn.probe()
	if err == nil {
		err = x.conn.queryTransaction(x.transactionIDQuery())
	}
	if err != nil {
		x.dropIdle()
		return x.notRun(x.unsentReason(), err)
	}
	x.conn.setDeadline(x.batchDeadline.Add(-x.cancelLead()))
	x.sent, x.answering = true, true
	return x.conn.send(x.batch)
}

// unsentReason returns the reason for a batch that was not sent. If it belongs to an open
// transaction, that is rolled back with its connection.
func (x *exchange) unsentReason() chervilladder.Reason {
	if x.open {
		return chervilladder.ReasonRolledBack
	}
	return chervilladder.ReasonNoPrimary
}

// dropIdle closes the idle connections to the upstream, which may be lost too.
func (x *exchange) dropIdle() {
	readOnly := x.work.Access == chervilladder.AccessRead && x.conn.claim != 0
	if pool := x.executor.pool(x.work.Database, x.member, readOnly); pool != nil {
		pool.CloseIdle()
	}
}
