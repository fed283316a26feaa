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

// The times of work that is passed to a host.
const (
	// openTimeout bounds the opening of an exchange.
	openTimeout = 250 * time.Millisecond
	// shunFor is how long a host that gave no answer is asked last.
	shunFor = 3 * time.Second
	// passMargin is how much longer than its timeout a passed command is
	// waited for: the host answers for the timeout.
	passMargin = 100 * time.Millisecond
)

// errNoHost reports a service without a VM to pass its work to.
var errNoHost = errors.New("no VM is known that hosts the service")

// hosts returns the VMs to pass the work to, if it is to run elsewhere: the hosts of
// its service, or a peer that reaches the primary while this VM does not.
func (w *work) hosts() (blackboard.Hosts, bool) {
	m := w.session.m
	if w.session.hosted {
		return blackboard.Hosts{}, false
	}
	if h, elsewhere := m.c.Board.Hosting.Load().Elsewhere[w.route.Service]; elsewhere {
		return h, true
	}
	c := m.c.Board.Clusters.Get(w.route.Service)
	told := c.Testimony.Load()
	peer := lead.Detour(c.View.Load(), told, m.c.Clock())
	if peer == "" || m.c.Remote == nil || w.silentSince(peer).After(told.At) {
		return blackboard.Hosts{}, false
	}
	return blackboard.Hosts{VMs: []chervilladder.VMID{peer}, First: 1}, true
}

// elsewhere reports whether the work is to run at another VM.
func (w *work) elsewhere() bool {
	_, elsewhere := w.hosts()
	return elsewhere
}

// host returns the host for the next attempt. Callers are spread over the first
// hosts; those that lately gave no answer are asked last.
func (w *work) host() (chervilladder.VMID, error) {
	h, _ := w.hosts()
	if len(h.VMs) == 0 {
		return "", errNoHost
	}
	first := max(1, min(h.First, len(h.VMs)))
	start := int(xxhash.Sum64String(w.session.caller) % uint64(first))
	var last []chervilladder.VMID
	for i := range h.VMs {
		vm := h.VMs[i]
		if i < first {
			vm = h.VMs[(start+i)%first]
		}
		if vm == w.avoid || w.shunned(vm) {
			last = append(last, vm)
			continue
		}
		return vm, nil
	}
	return last[w.tries%len(last)], nil
}

// exchangeAt opens an exchange at a host.
func (w *work) exchangeAt(ctx context.Context, vm chervilladder.VMID, access chervilladder.Access) (chervilladder.Exchange, error) {
	w.passedTo = vm
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(openTimeout, cancel)
	x, err := w.session.m.c.Remote.Open(ctx, vm, chervilladder.Work{
		Database: w.session.db, Service: w.route.Service, Caller: w.session.caller,
		Access: access, Seen: w.floor.mark, Deadline: w.deadline,
	})
	if err == nil && late.Stop() {
		return &bounded{Exchange: x, cancel: cancel}, nil
	}
	cancel()
	w.shun(vm)
	if err == nil {
		x.Close()
		err = context.DeadlineExceeded
	}
	return nil, &chervilladder.NotRunError{Database: w.session.db, Reason: chervilladder.ReasonNoOwner, Err: err}
}

// bounded is an exchange with a context of its own.
type bounded struct {
	chervilladder.Exchange
	cancel context.CancelFunc
}

// Close ends the exchange and its context.
func (b *bounded) Close() {
	b.Exchange.Close()
	b.cancel()
}

// silentSince returns when a host last gave no answer; zero if it always did.
func (w *work) silentSince(vm chervilladder.VMID) time.Time {
	if at, ok := w.session.m.shunned.Find(vm); ok {
		return at.Load()
	}
	return time.Time{}
}

// shunned reports whether a host lately gave no answer.
func (w *work) shunned(vm chervilladder.VMID) bool {
	return w.session.m.c.Clock().Sub(w.silentSince(vm)) < shunFor
}

// shun has a host asked last for a while.
func (w *work) shun(vm chervilladder.VMID) {
	w.session.m.shunned.Get(vm).Raise(w.session.m.c.Clock())
}

// pass runs commands by an exchange. If it fails, the exchange is closed.
func (w *work) pass(x chervilladder.Exchange, vm chervilladder.VMID, commands ...chervilladder.Command) (chervilladder.Result, error) {
	p := passed{Route: w.route, Values: w.values, Commands: commands}
	if w.need != nil {
		p.Prepared = map[string]link.Prepared{w.command.Name: *w.need}
	}
	payload, err := encode(p)
	if err != nil {
		return chervilladder.Result{}, err
	}
	if w.running != nil {
		w.running.Store(&running{host: vm, sent: time.Now()})
	}
	late := time.AfterFunc(time.Until(w.deadline)+passMargin, x.Close)
	defer late.Stop()
	commits := commands[len(commands)-1].Kind == chervilladder.CommandCommit || w.access == chervilladder.AccessWrite && !w.inTransaction
	if err := x.Send(chervilladder.Batch{Payload: payload, Commits: commits}); err != nil {
		w.shun(vm)
		return chervilladder.Result{}, err
	}
	reply, err := x.Recv()
	if err != nil {
		w.shun(vm)
		return chervilladder.Result{}, err
	}
	r, err := decodeReturned(reply.Payload)
	w.upstream, w.granted = r.Upstream, w.arrived
	return r.Result, err
}

// attemptElsewhere runs a lone statement at a host.
func (w *work) attemptElsewhere(ctx context.Context) (chervilladder.Result, answer.Next) {
	vm, err := w.host()
	if err != nil {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Tell
	}
	x, err := w.exchangeAt(ctx, vm, w.access)
	if err != nil {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
	}
	defer x.Close()
	r, err := w.pass(x, vm, w.command)
	if err == nil {
		if r.Code == chervilladder.CodeNone {
			w.cluster.Retries.Succeeded()
		}
		return r, answer.Tell
	}
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) && w.access == chervilladder.AccessWrite {
		return failure(chervilladder.CodeBusy, err.Error()), answer.Retry
	}
	next, code := answer.LoneLost(w.access)
	return failure(code, err.Error()), next
}
