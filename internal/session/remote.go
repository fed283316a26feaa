package session

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// unresponsiveFor is how long a VM is tried last after it failed to answer.
	unresponsiveFor = 3 * time.Second
	// forwardMargin is how much longer than its timeout a forwarded command is
	// waited for: the other VM enforces the timeout and answers.
	forwardMargin = 100 * time.Millisecond
)

// errNoHostingVM reports a service without a VM to forward its work to.
var errNoHostingVM = errors.New("no VM is known that hosts the service")

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

// isForwarded reports whether the work is to be forwarded to another VM.
func (w *work) runsElsewhere() bool {
	_, elsewhere := w.forwardTargets()
	return elsewhere
}

// spreadKey returns the text by whose hash work is spread over VMs. An account has a
// single one, so that few VMs hold connections for it.
func (w *work) spreadKey() string {
	if w.identity.Account != "" {
		return string(w.identity.Account)
	}
	return string(w.session.key)
}

// nextTarget returns the VM to forward the next attempt to. Callers are spread over the
// first targets. Those that failed to answer in the last unresponsiveFor, and the VM that
// another attempt was forwarded to, are tried last.
func (w *work) nextTarget() (chervilladder.VMID, error) {
	h, _ := w.forwardTargets()
	if len(h.VMs) == 0 {
		return "", errNoHostingVM
	}
	firstCount := max(1, min(h.FirstCount, len(h.VMs)))
	start := int(xxhash.Sum64String(w.spreadKey()) % uint64(firstCount))
	var last []chervilladder.VMID
	for i := range h.VMs {
		vm := h.VMs[i]
		if i < firstCount {
			vm = h.VMs[(start+i)%firstCount]
		}
		if vm == w.avoid || w.unresponsive(vm) {
			last = append(last, vm)
			continue
		}
		return vm, nil
	}
	return last[w.attempts%len(last)], nil
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

// lastUnanswered returns when a VM last failed to answer; zero if it never did.
func (w *work) lastUnanswered(vm chervilladder.VMID) time.Time {
	if at, ok := w.session.m.lastUnanswered.Find(vm); ok {
		return at.Load()
	}
	return time.Time{}
}

// unresponsive reports whether a VM has failed to answer in the last unresponsiveFor.
func (w *work) unresponsive(vm chervilladder.VMID) bool {
	return w.session.m.c.Clock().Sub(w.lastUnanswered(vm)) < unresponsiveFor
}

// markUnresponsive records that a VM failed to answer, so that it is tried last for
// unresponsiveFor.
func (w *work) markUnresponsive(vm chervilladder.VMID) {
	w.session.m.lastUnanswered.Get(vm).Raise(w.session.m.c.Clock())
}

// forward runs commands through an exchange. After an error the exchange is no longer
// usable.
func (w *work) forward(x chervilladder.Exchange, vm chervilladder.VMID, commands ...chervilladder.Command) (chervilladder.Result, error) {
	p := forwardRequest{Route: w.route, Values: w.values, Commands: commands}
	if w.statement != nil {
		p.Prepared = map[string]link.Prepared{w.command.Name: *w.statement}
	}
	payload, err := encode(p)
	if err != nil {
		return chervilladder.Result{}, err
	}
	if w.running != nil {
		w.running.Store(&running{forwardedTo: vm, sentAt: time.Now()})
	}
	timeout := time.AfterFunc(time.Until(w.deadline)+forwardMargin, x.Close)
	defer timeout.Stop()
	commits := commands[len(commands)-1].Kind == chervilladder.CommandCommit || w.access == chervilladder.AccessWrite && !w.inTransaction
	if err := x.Send(chervilladder.Batch{Payload: payload, Commits: commits}); err != nil {
		w.markUnresponsive(vm)
		return chervilladder.Result{}, err
	}
	reply, err := x.Recv()
	if err != nil {
		w.markUnresponsive(vm)
		return chervilladder.Result{}, err
	}
	r, err := decodeForwardResponse(reply.Payload)
	w.upstream, w.grantedAt = r.Upstream, w.arrived // it waited for no slot here
	return r.Result, err
}

// attemptForward forwards a single-statement transaction to another VM.
func (w *work) attemptForward(ctx context.Context) (chervilladder.Result, answer.Next) {
	vm, err := w.nextTarget()
	if err != nil {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Return
	}
	x, err := w.openExchange(ctx, vm, w.access)
	if err != nil {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
	}
	defer x.Close()
	r, err := w.forward(x, vm, w.command)
	if err == nil {
		if r.Code == chervilladder.CodeNone {
			w.cluster.Retries.Succeeded()
		}
		return r, answer.Return
	}
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) && w.access == chervilladder.AccessWrite {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
	}
	next, code := answer.AutocommitLost(w.access)
	return failure(code, err.Error()), next
}
