package session

import (
	"context"
	"errors"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

// remoteTransaction is an open transaction that runs at another VM.
type remoteTransaction struct {
	session *session
	route   chervilladder.Route
	// begin is the caller's command that began it.
	begin chervilladder.Command
	// vm and exchange are where it is open; nil before its first statement
	// and once it has failed.
	vm       chervilladder.VMID
	exchange chervilladder.Exchange
	// failed is set once it can only be ended by a ROLLBACK or a COMMIT, both of
	// which roll back. wrote is set once a write was forwarded.
	failed, wrote bool
}

func (t *remoteTransaction) state() chervilladder.TransactionState {
	if t.failed {
		return chervilladder.StateFailed
	}
	return chervilladder.StateOpen
}

func (t *remoteTransaction) mayContinue(kind chervilladder.CommandKind) bool {
	return t.session.mayContinue(t.route, kind)
}

// do runs a command within the transaction. For a write or a COMMIT, w.access keeps its
// zero value, AccessWrite.
func (t *remoteTransaction) do(ctx context.Context, w *work) chervilladder.Result {
	w.setRoute(t.route)
	switch kind := w.command.Kind; {
	case kind == chervilladder.CommandRollback:
		t.end()
		return chervilladder.Result{Signature: chervilladder.NoSignature}
	case kind == chervilladder.CommandCommit && t.failed:
		t.end()
		return failure(chervilladder.CodeAborted, "the transaction had failed and was rolled back")
	case t.failed:
		return failure(chervilladder.CodeMalformed, "the transaction has failed; roll it back")
	case kind == chervilladder.CommandSet, kind == chervilladder.CommandPrepare, kind == chervilladder.CommandDeallocate, kind == chervilladder.CommandNone:
		return t.session.runLocal(w.command)
	case kind == chervilladder.CommandExecute:
		p, ok := t.session.prepared[w.command.Name]
		if !ok {
			t.fail()
			return failure(chervilladder.CodeNoStatement, w.command.Name)
		}
		w.statement, w.access = &p, p.Access
	case kind == chervilladder.CommandRead:
		w.access = chervilladder.AccessRead
	}
	return t.run(ctx, w)
}

// run forwards a command to the other VM. The first one begins the transaction there.
func (t *remoteTransaction) run(ctx context.Context, w *work) chervilladder.Result {
	t.wrote = t.wrote || w.command.Kind != chervilladder.CommandCommit && w.access == chervilladder.AccessWrite
	var response forwardResponse
	var err error
	if t.exchange == nil {
		response, err = t.open(ctx, w)
	} else {
		response, err = w.forward(t.exchange, t.vm, w.command)
	}
	r := response.Result
	switch {
	case err != nil:
		t.fail()
		return t.lostResult(w, err)
	case w.command.Kind == chervilladder.CommandCommit:
		t.end()
		if r.Code == chervilladder.CodeNone {
			t.session.observe(r.Mark, t.session.m.c.Clock())
		}
	case r.State != chervilladder.StateOpen:
		t.failed = true
	}
	return r
}

// open begins the transaction at another VM and runs its first command there. If
// nothing ran at that VM, it tries the next one.
func (t *remoteTransaction) open(ctx context.Context, w *work) (forwardResponse, error) {
	for {
		w.attempts++
		vm, _, err := w.nextTarget()
		if err != nil {
			return forwardResponse{}, err
		}
		r, err := t.openAt(ctx, w, vm)
		reason := r.Refused
		if err != nil {
			reason = notRunReason(err)
		}
		if reason != "" && w.refusedBy(vm, reason) {
			t.abandon()
			continue
		}
		if err == nil || reason == "" || !w.backOff(ctx) {
			return r, err
		}
	}
}

// openAt begins the transaction at a VM. After an error it isn't open there.
func (t *remoteTransaction) openAt(ctx context.Context, w *work, vm chervilladder.VMID) (forwardResponse, error) {
	// The exchange outlives the command that opens it.
	x, err := w.openExchange(context.WithoutCancel(ctx), vm, chervilladder.AccessWrite)
	if err != nil {
		return forwardResponse{}, err
	}
	t.vm, t.exchange = vm, x
	r, err := w.forward(x, vm, t.begin, w.command)
	if err != nil {
		t.abandon()
	}
	return r, err
}

// lostResult returns the answer to a command whose exchange has failed. The other VM
// rolls back unless a COMMIT was forwarded.
func (t *remoteTransaction) lostResult(w *work, err error) chervilladder.Result {
	if w.command.Kind != chervilladder.CommandCommit {
		return failure(chervilladder.CodeAborted, err.Error())
	}
	t.end()
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		return failure(chervilladder.CodeAborted, err.Error())
	}
	return failure(answer.CommitLost(t.wrote), err.Error())
}

// fail makes every command but a rollback fail; the other VM rolls back now.
func (t *remoteTransaction) fail() {
	t.failed = true
	t.abandon()
}

// end ends the transaction.
func (t *remoteTransaction) end() {
	t.abandon()
	t.session.tx = nil
}

// abandon ends the exchange, and with it an open transaction at the other VM.
func (t *remoteTransaction) abandon() {
	if t.exchange != nil {
		t.exchange.Close()
		t.exchange = nil
	}
}
