package session

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// rollbackTimeout bounds the rollback before a connection is reused.
const rollbackTimeout = time.Second

// transaction is a session's open transaction.
type transaction struct {
	session *session
	route   chervilladder.Route
	// asOf is when the transaction began, by the VM's own clock.
	asOf     time.Time
	readOnly bool
	// conn is the transaction's connection, to placement.member; nil before the
	// first statement and once failed.
	conn      *link.Conn
	placement *placement
	failed    bool
	// wrote is set once a write was sent.
	wrote bool
	// lastActive is when the caller last sent a command.
	lastActive time.Time
}

func (t *transaction) state() chervilladder.TransactionState {
	if t.failed {
		return chervilladder.StateFailed
	}
	return chervilladder.StateOpen
}

// do runs a command within the transaction.
func (t *transaction) do(ctx context.Context, w *work) chervilladder.Result {
	w.setRoute(t.route)
	w.asOf = t.asOf
	if t.expire(w.arrived) && w.command.Kind != chervilladder.CommandRollback && w.command.Kind != chervilladder.CommandCommit {
		return failure(chervilladder.CodeAborted, "the transaction rested for too long and was rolled back")
	}
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	switch kind := w.command.Kind; {
	case kind == chervilladder.CommandRollback:
		return t.rollback()
	case kind == chervilladder.CommandCommit && t.failed:
		t.rollback()
		return failure(chervilladder.CodeAborted, "the transaction had failed and was rolled back")
	case t.failed:
		return failure(chervilladder.CodeMalformed, "the transaction has failed; roll it back")
	case kind == chervilladder.CommandCommit:
		return t.commit(ctx, w)
	case kind == chervilladder.CommandRead, kind == chervilladder.CommandWrite, kind == chervilladder.CommandExecute:
		return t.statement(ctx, w)
	case kind == chervilladder.CommandBegin, kind == chervilladder.CommandBeginRead:
		t.fail()
		return failure(chervilladder.CodeMalformed, "a transaction is open")
	default:
		return t.session.runLocal(w.command)
	}
}

// expire fails a transaction that was idle for longer than allowed, and reports whether
// it did so now.
func (t *transaction) expire(now time.Time) bool {
	limit := time.Duration(0)
	if r := t.session.m.c.Board.Routing.Load(); r != nil {
		limit = r.TransactionIdle
	}
	idleFor := now.Sub(t.lastActive)
	t.lastActive = now
	if limit <= 0 || idleFor <= limit || t.failed {
		return false
	}
	t.fail()
	return true
}

func (t *transaction) mayContinue(kind chervilladder.CommandKind) bool {
	return t.session.mayContinue(t.route, kind)
}

// fail rolls the transaction back; the state reports it to the caller.
func (t *transaction) fail() {
	t.failed = true
	t.releaseConn()
}

// discardConn closes the transaction's connection, which rolls it back.
func (t *transaction) discardConn() {
	if t.conn != nil {
		t.conn.Discard()
		t.conn = nil
	}
}

// abandon ends the transaction of a caller that has disconnected.
func (t *transaction) abandon() {
	t.releaseConn()
}

// rollback ends the transaction without waiting for the upstream.
func (t *transaction) rollback() chervilladder.Result {
	t.releaseConn()
	t.session.tx = nil
	return chervilladder.Result{Signature: chervilladder.NoSignature}
}

// releaseConn rolls the transaction back in the background and returns its connection
// to the pool if that succeeds.
func (t *transaction) releaseConn() {
	conn := t.conn
	t.conn = nil
	if conn == nil {
		return
	}
	go func() {
		clean := false
		_ = recovery.Call(t.session.m.c.Log, part, func() { clean = rollBack(conn) }) // then the connection is closed
		if clean {
			conn.Release()
		} else {
			conn.Discard()
		}
	}()
}

// rollBack rolls back the transaction of a connection, and reports whether it succeeded.
func rollBack(conn *link.Conn) bool {
	deadline := time.Now().Add(rollbackTimeout)
	err := conn.Send(deadline, chervilladder.Command{Kind: chervilladder.CommandRollback})
	if err != nil {
		return false
	}
	r, err := conn.Receive(deadline)
	return err == nil && r.State == chervilladder.StateIdle
}

// statement runs a read or write within the transaction.
func (t *transaction) statement(ctx context.Context, w *work) chervilladder.Result {
	command, access, statement, ok := t.session.resolve(w.command)
	if !ok {
		t.fail()
		return failure(chervilladder.CodeNoStatement, w.command.Name)
	}
	w.command, w.access, w.statement = command, access, statement
	if access == chervilladder.AccessWrite && t.readOnly {
		t.fail()
		return failure(chervilladder.CodeReadOnly, "the transaction only reads")
	}
	return t.run(ctx, w)
}

// run sends a command on the transaction's connection. The first command opens the
// transaction.
func (t *transaction) run(ctx context.Context, w *work) chervilladder.Result {
	access := w.access
	release, err := t.acquire(ctx, w)
	if err != nil {
		t.fail()
		return w.refusal(err)
	}
	defer release()
	if access == chervilladder.AccessWrite {
		t.wrote = true
	}
	r, err := t.exchange(ctx, w)
	if err != nil {
		w.handleLost(t.placement, t.conn, err)
		t.conn = nil
		t.failed = true
		return failure(chervilladder.CodeAborted, err.Error())
	}
	w.recordMark(t.placement, r)
	switch {
	case r.Code == chervilladder.CodeNone && r.State == chervilladder.StateOpen:
		return r
	case r.Code == chervilladder.CodeNone:
		// The connection is no longer in the transaction, so the answer can't be
		// trusted.
		t.failed = true
		t.discardConn()
		return failure(chervilladder.CodeAborted, "the upstream has ended the transaction")
	}
	if r.Code == chervilladder.CodeReadOnly {
		w.cluster.PollTrigger.Ask()
	}
	t.fail()
	if r.Code == chervilladder.CodeOther || r.Code == chervilladder.CodeNoStatement {
		r.Code = chervilladder.CodeAborted
	}
	return r
}

// exchange runs a command on the transaction's connection. It retries while the
// upstream rejects the command for load and keeps the transaction open.
func (t *transaction) exchange(ctx context.Context, w *work) (chervilladder.Result, error) {
	for {
		r, err := t.exchangeOnce(w)
		if err != nil || r.Code != chervilladder.CodeBusy || r.State != chervilladder.StateOpen || !w.backOff(ctx) {
			return r, err
		}
		w.attempts++
	}
}

// exchangeOnce sends a command and receives its answer. After a panic it closes the
// connection, as an answer may be outstanding.
func (t *transaction) exchangeOnce(w *work) (chervilladder.Result, error) {
	ended := false
	defer func() {
		if !ended {
			t.discardConn()
		}
	}()
	r, err := w.exchange(t.conn, w.command)
	ended = true
	return r, err
}

// acquire takes a slot and sets up the connection for a statement.
func (t *transaction) acquire(ctx context.Context, w *work) (release func(), err error) {
	if t.conn == nil {
		return t.open(ctx, w)
	}
	ticket := w.ticket(w.access)
	w.cluster.Queue.Occupy(ticket, t.placement.member.ID)
	w.upstream, w.grantedAt, w.attempts = t.placement.member.ID, time.Now(), 1
	set := false
	defer func() {
		if !set {
			w.cluster.Queue.Release(ticket) // after an error or a panic
		}
	}()
	if err := t.setUp(w); err != nil {
		return nil, err
	}
	set = true
	return func() { w.cluster.Queue.Release(ticket) }, nil
}

// setUp sets up the transaction's connection for a statement.
func (t *transaction) setUp(w *work) (err error) {
	err = errSetupNotEnded // what the deferred call sees after a panic
	defer func() {
		if err != nil {
			t.discardUnlessRefused(err)
		}
	}()
	return w.runSetupCommands(t.conn, t.conn.SetupCommands(t.session.values, w.statement))
}

// errSetupNotEnded stands for the result of set-up commands that panicked.
var errSetupNotEnded = errors.New("the set-up of the connection did not end")

// discardUnlessRefused closes the connection of a failed set-up unless the upstream
// answered with a refusal: after any other error answers may be outstanding. After a
// refusal, the connection returns to the pool once the transaction is rolled back.
func (t *transaction) discardUnlessRefused(err error) {
	var refusal *chervilladder.LinkRefusedError
	if !errors.As(err, &refusal) {
		t.discardConn()
		return
	}
	t.conn.ForgetSetup()
}

// open begins the transaction at a member. One that refuses to begin has run nothing,
// so another one is tried.
func (t *transaction) open(ctx context.Context, w *work) (release func(), err error) {
	access := chervilladder.AccessWrite
	if t.readOnly {
		access = chervilladder.AccessRead
	}
	for {
		w.attempts++
		p, err := w.place(ctx, access)
		if err != nil {
			return nil, err
		}
		if err = t.openAt(ctx, w, p); err == nil {
			return p.release, nil
		}
		p.release()
		if t.readOnly {
			w.exclude(p.member.ID)
		}
		w.cluster.PollTrigger.Ask()
		if !w.backOff(ctx) {
			return nil, err
		}
	}
}

// openAt begins the transaction at a member that has granted a slot.
func (t *transaction) openAt(ctx context.Context, w *work, p *placement) error {
	conn, err := p.pool.Get(ctx, w.identity.Account, t.session.values)
	if err != nil {
		return err
	}
	opened := false
	defer func() {
		if !opened {
			conn.Discard() // after an error or a panic
		}
	}()
	begin := chervilladder.Command{Kind: chervilladder.CommandBegin, Since: p.minMark}
	if t.readOnly {
		begin.Kind = chervilladder.CommandBeginRead
	}
	list := append(conn.SetupCommands(t.session.values, w.statement), begin)
	err = w.runSetupCommands(conn, list)
	if link.MayRepeatSuccess(err) {
		err = conn.ConfirmBegin(w.deadline)
	}
	if err != nil {
		return err
	}
	opened = true
	t.conn, t.placement = conn, p
	return nil
}

// commit ends the transaction.
func (t *transaction) commit(ctx context.Context, w *work) chervilladder.Result {
	release, err := t.acquire(ctx, w)
	if err != nil {
		t.rollback()
		return w.refusal(err)
	}
	defer release()
	defer func() { t.session.tx = nil }()
	r, err := t.exchange(ctx, w)
	if err != nil {
		w.handleLost(t.placement, t.conn, err)
		t.conn = nil
		return failure(answer.CommitLost(t.wrote), err.Error())
	}
	w.recordMark(t.placement, r)
	r.Code = answer.Commit(r.Code, t.wrote)
	if r.State == chervilladder.StateIdle {
		t.conn.Release()
		t.conn = nil
	} else {
		t.discardConn()
	}
	if r.Code != chervilladder.CodeNone {
		return r
	}
	if t.wrote {
		release() // the wait needs no slot
		if !w.awaitKept(ctx, t.placement.member.ID, r.Mark) {
			return failure(chervilladder.CodeInDoubt, errNotKept.Error())
		}
	}
	t.session.observe(r.Mark, t.session.m.c.Clock())
	return r
}
