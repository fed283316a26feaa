package session

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/link"
)

// work is one command while it is run.
type work struct {
	session *session
	// command is the caller's. toSend is the command to send: a prepared statement
	// has the name that all sessions share. Within a transaction that runs here,
	// toSend is unused and command itself is replaced by the command to send, so
	// that the observer receives the shared name.
	command, toSend chervilladder.Command
	route           chervilladder.Route
	access          chervilladder.Access
	// statement is the prepared statement that the command runs, if any.
	statement *link.Prepared
	// arrived is the command's arrival, for timeouts. asOf is the same by the VM's
	// own clock, with which status observations are timestamped; within a
	// transaction that runs here, it is when the transaction began.
	arrived, asOf time.Time
	deadline      time.Time
	cluster       *blackboard.Cluster
	// excluded are the members not to send this command to: it has failed there, or
	// another attempt of it runs there.
	excluded map[chervilladder.UpstreamID]bool
	// targets are the VMs that it was forwarded to; nil if it wasn't. refused is why
	// it wasn't run; empty if it was.
	targets *targets
	refused chervilladder.Reason
	// retryAtOnce is set when a replica has refused a read for its lag, or had
	// no connection for it.
	retryAtOnce bool

	// identity, values, minPosition and inTransaction are the session's when the
	// command arrived: a hedged attempt may outlast its command.
	identity      chervilladder.Identity
	values        map[string]string
	minPosition   minPosition
	inTransaction bool

	upstream chervilladder.UpstreamID
	// forwardedTo is the VM that the command was last forwarded to.
	forwardedTo chervilladder.VMID
	// minMark is the minimum position that the upstream's log had to hold.
	minMark  chervilladder.Mark
	attempts int
	// grantedAt is when a slot was last granted; for forwarded work, when it arrived.
	grantedAt time.Time
	// sentAt is when the command was last sent.
	sentAt time.Time
	// running is where the command was last sent, for other goroutines.
	running *atomic.Pointer[running]
}

// running describes a command that was sent and is unanswered.
type running struct {
	upstream chervilladder.UpstreamID
	// forwardedTo is set instead if the command was forwarded to another VM.
	forwardedTo chervilladder.VMID
	sentAt      time.Time
}

// setRoute sets the work's route and deadline, the cluster of its service, and copies of
// the session's state.
func (w *work) setRoute(route chervilladder.Route) {
	w.route = route
	w.cluster = w.session.m.c.Board.Clusters.Get(route.Service)
	w.deadline = w.session.m.shutdownPlan().Bound(w.arrived.Add(route.StatementTimeout()))
	w.identity = w.session.identity
	w.values, w.minPosition, w.inTransaction = w.session.values, w.session.minPosition, w.session.tx != nil
}

// minHedgeDelay is the least time after which an answer is late. The slot of a command
// whose answer is late is released for other work, and a read is sent a second time.
const minHedgeDelay = 100 * time.Millisecond

// hedgeDelay returns after how long an answer to this work is late.
func (w *work) hedgeDelay() time.Duration { return max(minHedgeDelay, w.route.Target/2) }

// runStatement runs a single-statement (autocommit) transaction.
func (w *work) runStatement(ctx context.Context) chervilladder.Result {
	s := w.session
	route, err := s.route()
	if err != nil {
		return failure(chervilladder.CodeNoDatabase, "no route to the database")
	}
	command, access, statement, ok := s.resolve(w.command)
	if !ok {
		return failure(chervilladder.CodeNoStatement, w.command.Name)
	}
	if err := s.checkTaken(allowance(route, command.Kind, access)); err != nil {
		return w.refusal(err)
	}
	w.toSend, w.access, w.statement = command, access, statement
	w.setRoute(route)
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	if err := s.admit(ctx); err != nil {
		return w.refusal(err)
	}
	var r chervilladder.Result
	if access == chervilladder.AccessRead {
		r = w.runHedged(ctx)
	} else {
		r = w.try(ctx)
	}
	if r.Code == chervilladder.CodeNone {
		s.observe(r.Mark, s.m.c.Clock())
	}
	return r
}

// try makes attempts until one ends the statement.
func (w *work) try(ctx context.Context) chervilladder.Result {
	for {
		w.attempts++
		r, next := w.attempt(ctx)
		if next == answer.Return {
			return r
		}
		if w.retryAtOnce {
			w.retryAtOnce = false // tries another member without a delay
			continue
		}
		if !w.backOff(ctx) {
			return r
		}
	}
}

// backOff waits before another attempt of any work, and reports whether one is allowed:
// at most the route's Attempts retries, while the retry budget and the deadline permit.
// Without a limit in the route, one retry is allowed.
func (w *work) backOff(ctx context.Context) bool {
	if w.attempts > max(1, w.route.Attempts) || !w.cluster.Retries.Spend() {
		return false
	}
	delay := retry.Delay(w.attempts)
	if time.Until(w.deadline) < 2*delay {
		return false
	}
	return w.sleep(ctx, delay)
}

// attempt places the statement at a member and runs it there.
func (w *work) attempt(ctx context.Context) (chervilladder.Result, answer.Next) {
	if w.runsElsewhere() {
		return w.attemptForward(ctx)
	}
	p, err := w.place(ctx, w.access)
	if err != nil {
		return w.refusal(err), answer.Return
	}
	defer p.release()
	conn, err := w.connect(ctx, p)
	if err != nil {
		w.exclude(p.member.ID)
		code := answer.Unsent(err)
		w.retryAtOnce = code == chervilladder.CodeConnectionLimit && !p.primary && w.access == chervilladder.AccessRead
		return failure(code, err.Error()), answer.Retry
	}
	c := w.toSend
	if w.access == chervilladder.AccessRead {
		c.Since = p.minMark
	}
	// A late answer may be lost: its slot is given to other work, and the member's
	// status is polled, as the member may be down.
	ended := false
	defer func() {
		if !ended {
			conn.Discard() // after a panic an answer may be outstanding
		}
	}()
	slow := time.AfterFunc(w.hedgeDelay(), func() {
		p.release()
		w.cluster.PollTrigger.Ask()
	})
	defer slow.Stop()
	r, err := w.exchange(conn, c)
	ended = true
	r, err = w.relyOnRefusal(r, err)
	if err != nil {
		w.handleLost(p, conn, err)
		next, code := answer.AutocommitLost(w.access)
		return failure(code, err.Error()), next
	}
	if r.State != chervilladder.StateIdle {
		// The connection should be outside of a transaction.
		conn.Discard()
	} else {
		conn.Release()
	}
	return w.evaluate(ctx, p, r)
}

// relyOnRefusal treats a read as refused although the refusal may be that of an earlier
// command: a read can be repeated.
func (w *work) relyOnRefusal(r chervilladder.Result, err error) (chervilladder.Result, error) {
	var inDoubt *link.AnswerInDoubtError
	if w.access != chervilladder.AccessRead || r.Code == chervilladder.CodeNone || !errors.As(err, &inDoubt) {
		return r, err
	}
	r.Mark = chervilladder.Mark{} // it may be older than the command
	return r, nil
}

// evaluate records an answer to a single-statement transaction and decides what
// follows.
func (w *work) evaluate(ctx context.Context, p *placement, r chervilladder.Result) (chervilladder.Result, answer.Next) {
	w.recordMark(p, r)
	if r.Code == chervilladder.CodeNone && w.access == chervilladder.AccessWrite {
		p.release() // the wait needs no slot
		if !w.awaitKept(ctx, p.member.ID, r.Mark) {
			return failure(chervilladder.CodeInDoubt, errNotKept.Error()), answer.Return
		}
	}
	if r.Code == chervilladder.CodeNone {
		w.cluster.Retries.Succeeded()
		return r, answer.Return
	}
	if r.Code == chervilladder.CodeReadOnly {
		w.cluster.PollTrigger.Ask()
	}
	if w.access == chervilladder.AccessRead {
		w.retryAtOnce = r.Code == chervilladder.CodeLagging && !p.primary
		w.exclude(p.member.ID)
	}
	next, code := answer.Autocommit(r.Code)
	r.Code = code
	return r, next
}

// exchange sends a command and receives its answer.
func (w *work) exchange(conn *link.Conn, c chervilladder.Command) (chervilladder.Result, error) {
	w.sentAt = time.Now()
	if w.running != nil {
		w.running.Store(&running{upstream: w.upstream, sentAt: w.sentAt})
	}
	if err := conn.Send(w.deadline, c); err != nil {
		return chervilladder.Result{}, err
	}
	return conn.Receive(w.deadline)
}

// connect returns a connection to the member, set up for the session.
func (w *work) connect(ctx context.Context, p *placement) (*link.Conn, error) {
	conn, err := p.pool.Get(ctx, w.identity.Account, w.values)
	if err != nil {
		return nil, err
	}
	set := false
	defer func() {
		if !set {
			conn.Discard() // after an error or a panic
		}
	}()
	if err := w.runSetupCommands(conn, conn.SetupCommands(w.values, w.statement)); err != nil {
		return nil, err
	}
	set = true
	return conn, nil
}

// runSetupCommands runs commands that must all succeed before the connection is used.
func (w *work) runSetupCommands(conn *link.Conn, list []chervilladder.Command) error {
	if len(list) == 0 {
		return nil
	}
	if err := conn.Send(w.deadline, list...); err != nil {
		return err
	}
	var refusal error
	for range list {
		r, err := conn.Receive(w.deadline)
		if err != nil && (refusal == nil || !link.MayRepeatSuccess(err)) {
			return err // behind a refusal, a success in doubt makes no difference
		}
		if r.Code != chervilladder.CodeNone && refusal == nil {
			refusal = &chervilladder.LinkRefusedError{Code: r.Code, Text: r.Text}
		}
	}
	return refusal
}

// handleLost closes a connection that failed, and the idle ones that may have failed
// with it, unless it received an answer of another command. It excludes the member from
// further attempts and has the statuses polled.
func (w *work) handleLost(p *placement, conn *link.Conn, err error) {
	conn.Discard()
	w.exclude(p.member.ID)
	var inDoubt *link.AnswerInDoubtError
	if errors.As(err, &inDoubt) {
		return
	}
	p.pool.DiscardOlder(w.sentAt)
	w.cluster.PollTrigger.Ask()
}

func (w *work) exclude(id chervilladder.UpstreamID) {
	if w.excluded == nil {
		w.excluded = make(map[chervilladder.UpstreamID]bool)
	}
	w.excluded[id] = true
}

// report reports to the observer how the command ended.
func (w *work) report(r chervilladder.Result) {
	o := w.session.m.c.Observer
	if o == nil {
		return
	}
	e := Ended{
		Database: w.session.db, Account: w.session.countedAccount(), Command: w.command, Priority: w.route.Priority,
		Upstream: w.upstream, ForwardedTo: w.forwardedTo, Left: w.left(), UpstreamElsewhere: w.upstreamElsewhere(), Attempts: w.attempts, MinMark: w.minMark, Result: r, Took: time.Since(w.arrived),
	}
	if !w.grantedAt.IsZero() {
		e.Waited = w.grantedAt.Sub(w.arrived)
	}
	if w.cluster != nil {
		e.Term = w.cluster.View.Load().Term
	}
	o.Ended(e)
}
