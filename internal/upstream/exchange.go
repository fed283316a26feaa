package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// maxAttempts is how often work is attempted at most. A read or an idempotent write is
// retried only while no part of its answer was returned; other work, only if nothing of
// it was sent.
const maxAttempts = 3

// exchange runs one transaction, or one batch outside of a transaction block, on one
// connection.
type exchange struct {
	ctx      context.Context
	executor *Executor
	state    *blackboard.Database
	work     chervilladder.Work
	class    *chervilladder.Class

	ticket *schedule.Ticket
	// poll is the poll sequence number when a read arrived.
	poll  blackboard.PollNumber
	batch chervilladder.Batch
	// batchDeadline bounds the answer to the current batch.
	batchDeadline time.Time

	// member is the upstream that granted a slot; empty without one.
	member chervilladder.UpstreamID
	// sentTo is the upstream that the last batch was sent to.
	sentTo chervilladder.UpstreamID
	// term and claim are those under which the work runs.
	term  chervilladder.Term
	claim chervilladder.Claim

	mu   sync.Mutex // guards conn and the closing of waitCancelled against Cancel
	conn *Conn
	// waitCancelled is closed once the work is cancelled before it has a
	// connection.
	waitCancelled chan struct{}

	waiting bool // the ticket is in the queue
	open    bool // a transaction block is open
	sent    bool // bytes of the current batch may have been sent
	begun   bool // a part of the current answer was returned
	failed  bool // the current answer holds an error
	proved  bool // the proof for the part of the current answer that was returned has succeeded
	// answering is set while the answer to a batch is incomplete, stopped once a
	// cancel request was sent for its statement shortly before the deadline.
	answering, stopped bool
	attempts           int
}

// Send sends a batch. The first one waits for its slot in Recv.
func (x *exchange) Send(b chervilladder.Batch) error {
	x.batch, x.batchDeadline = b, x.work.Deadline
	if x.open {
		x.batchDeadline = time.Now().Add(x.class.Deadline)
	}
	x.sent, x.begun, x.failed, x.proved, x.stopped = false, false, false, false, false
	if x.conn == nil {
		return x.accountMemory(b)
	}
	if err := x.transmit(); err != nil {
		return x.fail(err)
	}
	return nil
}

// Recv returns the next part of the answer.
func (x *exchange) Recv() (chervilladder.Reply, error) {
	for {
		r, err := x.attempt()
		if err == nil {
			return r, nil
		}
		if !x.mayRetry(err) {
			return chervilladder.Reply{}, x.fail(err)
		}
		x.abandon()
		if errors.Is(err, errNoProof) {
			x.awaitChange()
		}
		if err := x.requeue(); err != nil {
			return chervilladder.Reply{}, x.fail(err)
		}
	}
}

// awaitChange waits until the group's term or claim differs from the one in which a
// proof failed, so that a retry doesn't fail at once in the same way.
func (x *exchange) awaitChange() {
	ctx, cancel := context.WithDeadline(x.ctx, x.work.Deadline)
	defer cancel()
	// After the deadline the retry fails anyway.
	_, _ = x.state.Await(ctx, func(g blackboard.Group) bool {
		return g.Term != x.term || g.Claim != x.claim
	})
}

// requeue queues the work again after a delay, which spreads the load of work that
// failed at the same time.
func (x *exchange) requeue() error {
	delay := time.NewTimer(retry.Delay(x.attempts))
	defer delay.Stop()
	select {
	case <-delay.C:
		return x.queue()
	case <-x.ctx.Done():
		return x.notRun(chervilladder.ReasonCancelled, context.Cause(x.ctx))
	}
}

func (x *exchange) attempt() (chervilladder.Reply, error) {
	if x.conn == nil {
		if err := x.start(); err != nil {
			return chervilladder.Reply{}, err
		}
	}
	k, err := x.nextPart()
	if err != nil {
		return chervilladder.Reply{}, err
	}
	if len(k.success) == 0 {
		x.begun = true
		return chervilladder.Reply{Payload: k.payload}, nil
	}
	return x.finish(k)
}

// nextPart reads the next part of the answer to return. The first part of a read is kept
// until it is large or complete: as long as nothing was returned, the read can be
// retried after its proof has failed.
func (x *exchange) nextPart() (chunk, error) {
	var kept []byte
	for {
		k, err := x.next()
		if err != nil {
			return chunk{}, err
		}
		x.failed = k.failed
		k.payload = append(kept, k.payload...)
		whole := len(k.success) > 0 || len(k.payload) >= chunkBytes
		if whole || x.begun || x.work.Access != chervilladder.AccessRead {
			return k, nil
		}
		kept = k.payload
	}
}

// next reads the next part of the answer. A statement that hasn't ended shortly before
// the deadline is cancelled, so that its outcome is known.
func (x *exchange) next() (chunk, error) {
	k, err := x.conn.next(x.failed)
	if stalled(err) {
		x.dropIdle()
	}
	if err == nil || !stalled(err) || x.stopped || x.conn.transaction != "" {
		return k, err
	}
	x.stopped = true
	x.conn.setDeadline(time.Now().Add(x.cancelLead()))
	go x.Cancel()
	return x.conn.next(x.failed)
}

// A running statement is cancelled this long before its deadline: a fifth of the class's
// deadline, at most maxCancelLead.
const (
	maxCancelLead     = 500 * time.Millisecond
	cancelLeadDivisor = 5
)

// transactionIDQuery returns how to query the transaction's id, if at all. Only work that
// must not be retried needs it.
func (x *exchange) transactionIDQuery() chervilladder.TransactionIDQuery {
	if x.class.Idempotent || x.work.Access == chervilladder.AccessRead {
		return chervilladder.TransactionIDNone
	}
	return x.batch.TransactionIDQuery
}

// cancelLead returns how long before its deadline a running statement is cancelled. It
// also bounds the probe of the connection and the queries of a transaction's id and
// outcome.
func (x *exchange) cancelLead() time.Duration {
	return min(maxCancelLead, x.class.Deadline/cancelLeadDivisor)
}

// start waits for a slot, takes a connection and sends the batch.
func (x *exchange) start() error {
	claim, err := x.awaitUsableSlot()
	if err != nil {
		return err
	}
	x.sentTo = x.member
	readOnly := claim != 0 && x.work.Access == chervilladder.AccessRead
	pool := x.executor.pool(x.work.Database, x.member, readOnly)
	if pool == nil {
		return x.notRun(chervilladder.ReasonNoPrimary, nil)
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.batchDeadline)
	defer cancel()
	conn, err := pool.Get(ctx, claim)
	if err != nil {
		return x.notRun(chervilladder.ReasonNoPrimary, err)
	}
	if err := conn.apply(ctx, x.settings(readOnly)); err != nil {
		conn.Close()
		return x.notRun(chervilladder.ReasonNoPrimary, err)
	}
	if !x.takeConn(conn) {
		return x.notRun(chervilladder.ReasonCancelled, nil)
	}
	return x.transmit()
}

func (x *exchange) settings(readOnly bool) []chervilladder.Setting {
	if !readOnly {
		return x.work.Settings
	}
	s := append([]chervilladder.Setting(nil), x.work.Settings...)
	return append(s, chervilladder.Setting{Name: "default_transaction_read_only", Value: "on"})
}

// finish handles the messages that report success: they are returned only once it is
// proved that the term and the claim were still valid.
func (x *exchange) finish(k chunk) (chervilladder.Reply, error) {
	x.open = k.last && k.status != 'I'
	x.answering = x.answering && !k.last
	if k.last && !x.open {
		x.release()
	}
	alreadyProved := x.proved && k.onlyReady()
	if !k.failed && !x.open && !alreadyProved {
		mark, err := x.prove()
		if err != nil {
			return chervilladder.Reply{}, err
		}
		x.proved = true
		x.work.Seen = x.work.Seen.Later(mark)
		x.state.Retries.Succeeded()
	}
	return chervilladder.Reply{
		Payload:  append(k.payload, k.success...),
		Last:     k.last,
		Open:     x.open,
		Seen:     x.work.Seen,
		Upstream: x.sentTo,
	}, nil
}

// Cancel sends the upstream a cancel request for the running statement, or ends the wait
// for a slot.
func (x *exchange) Cancel() {
	if conn := x.markCancelled(); conn != nil {
		x.cancelConn(conn)
	}
}

func (x *exchange) cancelConn(conn *Conn) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), dialTimeout)
	defer cancel()
	_ = conn.cancelRunning(ctx)
}

// markCancelled returns the connection of the running statement, if any. The connection
// isn't reused: a late cancel request would cancel the work that runs on it then.
func (x *exchange) markCancelled() *Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.cancelled = true
		return x.conn
	}
	if !x.isWaitCancelled() {
		close(x.waitCancelled)
	}
	return nil
}

func (x *exchange) isWaitCancelled() bool {
	select {
	case <-x.waitCancelled:
		return true
	default:
		return false
	}
}

// takeConn sets the exchange's connection. It reports false if the work was cancelled
// before.
func (x *exchange) takeConn(c *Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.isWaitCancelled()
}

// Close ends the exchange.
func (x *exchange) Close() {
	if x.conn != nil {
		if x.answering {
			go x.cancelConn(x.markCancelled())
		}
		x.abandon()
	} else if x.waiting {
		x.stopWaiting()
	}
}

// release returns the connection and the slot after a complete answer.
func (x *exchange) release() {
	conn := x.conn
	x.setConn(nil)
	readOnly := x.work.Access == chervilladder.AccessRead && conn.claim != 0
	if pool := x.executor.pool(x.work.Database, x.member, readOnly); pool != nil {
		pool.Put(conn)
	} else {
		conn.Close()
	}
	x.state.Queue.Release(x.ticket)
	x.member = ""
}

// abandon returns the slot and closes the connection, which may be in any state.
func (x *exchange) abandon() {
	if conn := x.conn; conn != nil {
		x.setConn(nil)
		conn.Close()
	}
	if x.member != "" {
		x.state.Queue.Release(x.ticket)
		x.member = ""
	}
}

func (x *exchange) setConn(c *Conn) {
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
}
