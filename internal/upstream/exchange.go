package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// maxReadAttempts bounds how often a read is sent while its answer has not
// begun.
const maxReadAttempts = 3

// exchange runs one transaction, or one lone batch, on one connection.
type exchange struct {
	ctx      context.Context
	executor *Executor
	state    *blackboard.Database
	work     chervilladder.Work
	class    *chervilladder.Class

	ticket *schedule.Ticket
	// asked is the evidence tick taken when a read arrived.
	asked blackboard.Tick
	batch chervilladder.Batch
	// until bounds the answer to the current batch.
	until time.Time

	// member is the upstream at which a slot is held; empty without one.
	member chervilladder.UpstreamID
	// served is the upstream that the last batch went to.
	served chervilladder.UpstreamID
	// term and claim are those under which the work runs.
	term  chervilladder.Term
	claim chervilladder.Claim

	mu   sync.Mutex // guards conn and the closing of gaveUp against Cancel
	conn *Conn
	// gaveUp is closed once the work is cancelled before it has a
	// connection.
	gaveUp chan struct{}

	waiting bool // the ticket is in the queue
	open    bool // a transaction block is open
	sent    bool // bytes of the current batch may have left
	begun   bool // a part of the current answer was passed on
	failed  bool // the current answer holds an error
	// answering is set while the answer to a batch is incomplete, cancelled
	// once the upstream was asked to stop its statement.
	answering, cancelled bool
	attempts             int
}

// Send passes on a batch. The first one waits for its slot in Recv.
func (x *exchange) Send(b chervilladder.Batch) error {
	x.batch, x.until = b, x.work.Deadline
	if x.open {
		x.until = time.Now().Add(x.class.Deadline)
	}
	x.sent, x.begun, x.failed, x.cancelled = false, false, false, false
	if x.conn == nil {
		return nil
	}
	x.sent, x.answering = true, true
	x.conn.setDeadline(x.until.Add(-x.grace()))
	if err := x.conn.send(b); err != nil {
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
		if err := x.queue(); err != nil {
			return chervilladder.Reply{}, err
		}
	}
}

func (x *exchange) attempt() (chervilladder.Reply, error) {
	if x.conn == nil {
		if err := x.start(); err != nil {
			return chervilladder.Reply{}, err
		}
	}
	k, err := x.next()
	if err != nil {
		return chervilladder.Reply{}, err
	}
	x.failed = k.failed
	if len(k.fenced) == 0 {
		x.begun = true
		return chervilladder.Reply{Payload: k.payload}, nil
	}
	return x.finish(k)
}

// next reads the next part of the answer. A statement that has not ended
// shortly before the deadline is cancelled, so that its outcome is known
// rather than lost.
func (x *exchange) next() (chunk, error) {
	k, err := x.conn.next(x.failed)
	if err == nil || !stalled(err) || x.cancelled {
		return k, err
	}
	x.cancelled = true
	x.conn.setDeadline(time.Now().Add(x.grace()))
	go x.Cancel()
	return x.conn.next(x.failed)
}

// The time before a deadline at which a running statement is cancelled.
const (
	maxCancelGrace     = 500 * time.Millisecond
	cancelGraceDivisor = 5
)

func (x *exchange) grace() time.Duration {
	return min(maxCancelGrace, x.class.Deadline/cancelGraceDivisor)
}

// start waits for a slot, takes a connection and sends the batch.
func (x *exchange) start() error {
	claim, err := x.awaitUsableSlot()
	if err != nil {
		return err
	}
	x.served = x.member
	readOnly := claim != 0 && x.work.Access == chervilladder.AccessRead
	pool := x.executor.pool(x.work.Database, x.member, readOnly)
	if pool == nil {
		return x.notRun(chervilladder.ReasonNoPrimary, nil)
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.until)
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
	conn.setDeadline(x.until.Add(-x.grace()))
	x.sent, x.answering = true, true
	return conn.send(x.batch)
}

// awaitUsableSlot waits for a slot that still suits the group, and returns
// the claim to which its connection must be bound; zero on a replica.
func (x *exchange) awaitUsableSlot() (chervilladder.Claim, error) {
	for {
		if err := x.awaitSlot(); err != nil {
			return 0, err
		}
		g := x.state.Group.Load()
		onPrimary := x.member == g.Primary
		read := x.work.Access == chervilladder.AccessRead
		switch {
		case read && g.Term == x.term && g.Claim == x.claim:
		case !read && onPrimary:
			x.term, x.claim = g.Term, g.Claim
		default:
			x.abandon()
			if err := x.queue(); err != nil {
				return 0, err
			}
			continue
		}
		if onPrimary {
			return g.Claim, nil
		}
		return 0, nil
	}
}

func (x *exchange) settings(readOnly bool) []chervilladder.Setting {
	if !readOnly {
		return x.work.Settings
	}
	s := append([]chervilladder.Setting(nil), x.work.Settings...)
	return append(s, chervilladder.Setting{Name: "default_transaction_read_only", Value: "on"})
}

func (x *exchange) awaitSlot() error {
	ctx, cancel := context.WithDeadline(x.ctx, x.work.Deadline)
	defer cancel()
	fallback := time.NewTimer(time.Until(x.ticket.ReplicaOnlyUntil))
	defer fallback.Stop()
	for {
		select {
		case x.member = <-x.ticket.Granted():
			x.waiting = false
			return nil
		case <-x.gaveUp:
			x.stopWaiting()
			return x.notRun(chervilladder.ReasonCancelled, nil)
		case <-fallback.C:
			x.state.Queue.Dispatch()
		case <-ctx.Done():
			x.stopWaiting()
			return x.notRun(x.waitReason(), context.Cause(ctx))
		}
	}
}

func (x *exchange) stopWaiting() {
	x.waiting = false
	x.state.Queue.Withdraw(x.ticket)
}

func (x *exchange) waitReason() chervilladder.Reason {
	if !x.state.Group.Load().Open() {
		return chervilladder.ReasonNoPrimary
	}
	return chervilladder.ReasonDeadline
}

// finish handles the messages that tell of success: they are passed on only
// once it is proved that the term and the claim were still in force.
func (x *exchange) finish(k chunk) (chervilladder.Reply, error) {
	x.open = k.last && k.status != 'I'
	x.answering = x.answering && !k.last
	if k.last && !x.open {
		x.release()
	}
	seen := x.work.Seen
	if !k.failed && !x.open {
		mark, err := x.prove()
		if err != nil {
			return chervilladder.Reply{}, err
		}
		seen = seen.Later(mark)
	}
	return chervilladder.Reply{
		Payload:  append(k.payload, k.fenced...),
		Last:     k.last,
		Open:     x.open,
		Seen:     seen,
		Upstream: x.served,
	}, nil
}

// Cancel asks the upstream to stop the running statement, or gives up the
// wait for a slot.
func (x *exchange) Cancel() {
	x.cancelConn(x.markCancelled())
}

func (x *exchange) cancelConn(conn *Conn) {
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), dialTimeout)
	defer cancel()
	_ = conn.cancelRunning(ctx)
}

// markCancelled returns the connection of the running statement, if any. It
// is never pooled again: the request to cancel may arrive late and would hit
// the work that runs on it then.
func (x *exchange) markCancelled() *Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.cancelled = true
		return x.conn
	}
	if !x.isGivenUp() {
		close(x.gaveUp)
	}
	return nil
}

func (x *exchange) isGivenUp() bool {
	select {
	case <-x.gaveUp:
		return true
	default:
		return false
	}
}

// takeConn takes a connection over, unless the work was cancelled meanwhile.
func (x *exchange) takeConn(c *Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.isGivenUp()
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

// release gives the connection and the slot back after a whole answer.
func (x *exchange) release() {
	conn := x.conn
	x.setConn(nil)
	readOnly := x.work.Access == chervilladder.AccessRead && conn.claim != 0
	if pool := x.executor.pool(x.work.Database, x.member, readOnly); pool != nil {
		pool.Put(conn)
	} else {
		conn.Close()
	}
	x.state.Queue.Release(x.member)
	x.member = ""
}

// abandon gives the slot back and closes the connection, which may be in any
// state.
func (x *exchange) abandon() {
	if conn := x.conn; conn != nil {
		x.setConn(nil)
		conn.Close()
	}
	if x.member != "" {
		x.state.Queue.Release(x.member)
		x.member = ""
	}
}

func (x *exchange) setConn(c *Conn) {
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
}
