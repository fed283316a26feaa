package session

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/link"
)

// The timeouts of forwarded work.
const (
	// openTimeout bounds the opening of an exchange.
	openTimeout = 250 * time.Millisecond
	// forwardMargin is how much longer than its timeout a forwarded command is
	// waited for: the other VM enforces the timeout and answers.
	forwardMargin = 100 * time.Millisecond
)

// forwardTargets returns the VMs to forward the work to, if it isn't to run here: those
// that host its service, or a peer that reaches the primary while this VM doesn't.
func (w *work) forwardTargets() (blackboard.Hosts, bool) {
	m := w.session.m
	if w.session.fromPeer {
		return blackboard.Hosts{}, false
	}
	if h, elsewhere := m.c.Board.Hosting.Load().Elsewhere[w.route.Service]; elsewhere {
		return h, true
	}
	c := m.c.Board.Clusters.Get(w.route.Service)
	report := c.PeerReport.Load()
	peer := lead.ForwardTo(c.View.Load(), report, m.c.Clock())
	if peer == "" || m.c.Remote == nil || w.lastUnanswered(peer).After(report.RequestedAt) {
		return blackboard.Hosts{}, false
	}
	return blackboard.Hosts{VMs: []chervilladder.VMID{peer}, FirstCount: 1}, true
}

// runsElsewhere reports whether the work is to be forwarded to another VM.
func (w *work) runsElsewhere() bool {
	_, elsewhere := w.forwardTargets()
	return elsewhere
}

// openExchange opens an exchange at another VM.
func (w *work) openExchange(ctx context.Context, vm chervilladder.VMID, access chervilladder.Access) (chervilladder.Exchange, error) {
	w.forwardedTo = vm
	ctx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(openTimeout, cancel)
	x, err := w.session.m.c.Remote.Open(ctx, vm, chervilladder.Work{
		Database: w.session.db, Service: w.route.Service, Caller: w.identity.Name, Account: w.identity.Account,
		Access: access, Seen: w.minPosition.mark, Deadline: w.deadline,
	})
	if err == nil && timeout.Stop() {
		return &cancellingExchange{Exchange: x, cancel: cancel}, nil
	}
	cancel()
	if isRefusal(err) {
		return nil, err
	}
	w.markUnresponsive(vm)
	if err == nil {
		x.Close()
		err = context.DeadlineExceeded
	}
	return nil, &chervilladder.NotRunError{Database: w.session.db, Reason: chervilladder.ReasonNoOwner, Err: err}
}

// cancellingExchange is an exchange that cancels its own context when it is closed.
type cancellingExchange struct {
	chervilladder.Exchange
	cancel context.CancelFunc
}

// Close ends the exchange and its context.
func (b *cancellingExchange) Close() {
	b.Exchange.Close()
	b.cancel()
}

// forward runs commands through an exchange. After an error the exchange is no longer
// usable.
func (w *work) forward(x chervilladder.Exchange, vm chervilladder.VMID, commands ...chervilladder.Command) (forwardResponse, error) {
	p := forwardRequest{Route: w.route, Values: w.values, Commands: commands}
	if w.statement != nil {
		p.Prepared = map[string]link.Prepared{w.command.Name: *w.statement}
	}
	payload, err := encode(p)
	if err != nil {
		return forwardResponse{}, err
	}
	began, sentAt := time.Now(), w.sent(vm)
	if w.running != nil {
		w.running.Store(&running{forwardedTo: vm, sentAt: began})
	}
	timeout := time.AfterFunc(time.Until(w.deadline)+forwardMargin, x.Close)
	defer timeout.Stop()
	commits := commands[len(commands)-1].Kind == chervilladder.CommandCommit || w.access == chervilladder.AccessWrite && !w.inTransaction
	if err := x.Send(chervilladder.Batch{Payload: payload, Commits: commits}); err != nil {
		w.markUnresponsive(vm)
		return forwardResponse{}, err
	}
	reply, err := x.Recv()
	if err != nil {
		if !isRefusal(err) {
			w.markUnresponsive(vm)
		}
		return forwardResponse{}, err
	}
	r, err := decodeForwardResponse(reply.Payload)
	w.upstream, w.grantedAt = r.Upstream, w.arrived // it waited for no slot here
	if err == nil {
		w.answered(vm, r, sentAt, time.Since(began))
	}
	return r, err
}

// notRunReason returns the reason of a *NotRunError; empty for another error.
func notRunReason(err error) chervilladder.Reason {
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason
	}
	return ""
}

// isRefusal reports whether an error is the answer of the other VM that it doesn't run
// the work. The other errors report a VM that was lost.
func isRefusal(err error) bool {
	r := notRunReason(err)
	return r != "" && r != chervilladder.ReasonNoOwner && r != chervilladder.ReasonRolledBack
}

// attemptForward forwards a single-statement transaction to another VM.
func (w *work) attemptForward(ctx context.Context) (chervilladder.Result, answer.Next) {
	vm, _, err := w.nextTarget()
	if err != nil {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Return
	}
	x, err := w.openExchange(ctx, vm, w.access)
	if err != nil {
		w.retryAtOnce = w.refusedBy(vm, notRunReason(err))
		return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
	}
	defer x.Close()
	r, err := w.forward(x, vm, w.command)
	if err != nil {
		return w.forwardFailed(vm, err)
	}
	if r.Refused != "" && w.refusedBy(vm, r.Refused) {
		w.retryAtOnce = true
		return r.Result, answer.Retry
	}
	if r.Result.Code == chervilladder.CodeNone {
		w.cluster.Retries.Succeeded()
	}
	return r.Result, answer.Return
}

// forwardFailed decides what follows an error of a forwarded single-statement
// transaction: what certainly didn't run goes to another VM at once.
func (w *work) forwardFailed(vm chervilladder.VMID, err error) (chervilladder.Result, answer.Next) {
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		w.retryAtOnce = w.refusedBy(vm, notRun.Reason)
		if isRefusal(err) {
			return failure(chervilladder.CodeBusy, notRun.Refusal()), answer.Retry
		}
		if w.access == chervilladder.AccessWrite {
			return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
		}
	}
	next, code := answer.AutocommitLost(w.access)
	return failure(code, err.Error()), next
}
