package clustertest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/session"
)

// messageDelay is the simulated network delay of each message of an exchange, and of
// each other call between two VMs as a whole. Opening an exchange takes none.
const messageDelay = 500 * time.Microsecond

// peerNetwork carries calls between the VMs of a world. It implements
// chervilladder.Remote, Connector, PeerDemoter, PeerCandidacyAcceptor and
// PeerReachability.
//
// Calls of a VM that doesn't run any more are lost, if from names its process.
type peerNetwork struct {
	w    *World
	from *process
}

// Open opens an exchange at another VM. It fails if there is no such VM; if the
// VM is unreachable, it blocks until the context ends.
func (n peerNetwork) Open(ctx context.Context, vm chervilladder.VMID, work chervilladder.Work) (chervilladder.Exchange, error) {
	if f := n.w.OnForward; f != nil {
		f()
	}
	for _, v := range n.w.running() {
		if v.Board.Self.ID != vm {
			continue
		}
		time.Sleep(v.delay())
		if v.Unreachable.Load() {
			<-ctx.Done()
			break
		}
		ctx, cancel := context.WithCancel(ctx)
		x, err := v.forwardedExecutor.Open(ctx, work)
		if err != nil {
			cancel()
			return nil, err
		}
		return &forwardedExchange{
			vm: v, inner: x, db: work.Database, cancel: cancel, closed: make(chan struct{}), running: make(chan struct{}, 1),
			sentSoFar: answer.Forwarded{Reads: work.Access == chervilladder.AccessRead},
		}, nil
	}
	return nil, answer.Forwarded{}.Lost(work.Database, ErrSimulated)
}

// Demote has another VM demote an outdated primary.
func (n peerNetwork) Demote(ctx context.Context, peer chervilladder.Address, u chervilladder.UpstreamID, term chervilladder.Term) error {
	for _, v := range n.w.running() {
		if chervilladder.Address(v.Board.Self.ID) == peer && !v.Unreachable.Load() && v.process.runs(ctx) {
			time.Sleep(messageDelay)
			return v.failovers.Demote(ctx, u, term)
		}
	}
	<-ctx.Done()
	return ErrSimulated
}

// AcceptCandidacy tells another VM of a candidacy.
func (n peerNetwork) AcceptCandidacy(ctx context.Context, peer chervilladder.Address, c chervilladder.Candidacy) (chervilladder.CandidacyReply, error) {
	if n.from != nil && !n.from.runs(ctx) {
		return chervilladder.CandidacyReply{}, ErrSimulated
	}
	for _, v := range n.w.running() {
		if chervilladder.Address(v.Board.Self.ID) == peer && !v.Unreachable.Load() && v.process.runs(ctx) {
			time.Sleep(messageDelay)
			return v.failovers.AcceptCandidacy(ctx, c)
		}
	}
	<-ctx.Done()
	return chervilladder.CandidacyReply{}, ErrSimulated
}

// ReachablePrimary queries which primary of a service another VM reaches.
func (n peerNetwork) ReachablePrimary(ctx context.Context, peer chervilladder.Address, s chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	for _, v := range n.w.running() {
		if chervilladder.Address(v.Board.Self.ID) == peer && !v.Unreachable.Load() && v.process.runs(ctx) {
			time.Sleep(messageDelay)
			return v.reachability.ReachablePrimary(ctx, s)
		}
	}
	<-ctx.Done()
	return chervilladder.PrimaryTerm{}, ErrSimulated
}

// connectionCheck is the time between two checks of a simulated connection.
const connectionCheck = 100 * time.Millisecond

// KeepConnected reports whether another VM is reachable until the context ends.
func (n peerNetwork) KeepConnected(ctx context.Context, peer chervilladder.Address, report func(connected bool)) {
	t := time.NewTicker(connectionCheck)
	defer t.Stop()
	for {
		for _, v := range n.w.running() {
			if chervilladder.Address(v.Board.Self.ID) == peer {
				report(!v.Unreachable.Load())
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// forwardedExchange is an exchange that another VM runs.
type forwardedExchange struct {
	vm     *VM
	inner  chervilladder.Exchange
	db     chervilladder.DatabaseID
	cancel context.CancelFunc
	// sentSoFar describes what was sent so far. The error of a lost reply is made
	// from it.
	sentSoFar answer.Forwarded
	closed    chan struct{}
	once      sync.Once
	// running is filled while the other VM runs a batch, so that Close can wait for its
	// end. It is no mutex, as one that waits for a mutex holds up virtual time.
	running chan struct{}
}

// Send forwards a batch.
func (x *forwardedExchange) Send(b chervilladder.Batch) error {
	x.sentSoFar.Sent, x.sentSoFar.Commits = true, b.Commits
	time.Sleep(messageDelay + x.vm.delay())
	return x.inner.Send(b)
}

// Recv returns the reply, unless the VM is unreachable or loses its replies; then
// it blocks until the exchange is closed.
func (x *forwardedExchange) Recv() (chervilladder.Reply, error) {
	if x.vm.Unreachable.Load() {
		<-x.closed
		return chervilladder.Reply{}, x.sentSoFar.Lost(x.db, ErrSimulated)
	}
	r, err := x.run()
	time.Sleep(messageDelay + x.vm.delay())
	if err != nil {
		return r, err
	}
	if x.vm.LoseResponses.Load() {
		<-x.closed
		return chervilladder.Reply{}, x.sentSoFar.Lost(x.db, ErrSimulated)
	}
	x.sentSoFar.Open = r.Open
	return r, nil
}

// run receives a reply from the other VM, whose executor runs the batch that was sent
// before it returns the reply.
func (x *forwardedExchange) run() (chervilladder.Reply, error) {
	x.running <- struct{}{}
	defer func() { <-x.running }()
	return x.inner.Recv()
}

// Cancel does nothing.
func (x *forwardedExchange) Cancel() {}

// Close ends the exchange. At the other VM it ends once the forwarded work has
// run.
func (x *forwardedExchange) Close() {
	x.once.Do(func() {
		close(x.closed)
		x.cancel()
		go func() {
			x.running <- struct{}{}
			defer func() { <-x.running }()
			x.inner.Close()
		}()
	})
}

// ForwardToHosts makes a VM forward the service's work to other VMs, which all hold
// connections to its upstreams; its callers are spread over the first few, which are in its
// data centre.
func (w *World) ForwardToHosts(vm, firstCount int, hosts ...int) {
	list := blackboard.Hosts{FirstCount: firstCount, HostCount: len(hosts), OwnCount: firstCount}
	for _, i := range hosts {
		list.VMs = append(list.VMs, w.VMs[i].Board.Self.ID)
	}
	w.VMs[vm].Board.Hosting.Store(blackboard.Hosting{Elsewhere: map[chervilladder.ServiceID]blackboard.Hosts{Service: list}})
}

// Forward makes a VM forward the service's work to other VMs.
func (w *World) Forward(vm int, to ...int) {
	list := blackboard.Hosts{FirstCount: 1}
	for _, i := range to {
		list.VMs = append(list.VMs, chervilladder.VMID(fmt.Sprintf("vm-%d", i)))
	}
	// All callers' work goes to the first VM, as First is 1; the others are tried
	// after it.
	w.VMs[vm].Board.Hosting.Store(blackboard.Hosting{Elsewhere: map[chervilladder.ServiceID]blackboard.Hosts{Service: list}})
}

// peerSide is what other VMs meet when they call a VM: simulated faults, whether
// it rejects their requests, and the executor of forwarded work.
type peerSide struct {
	// Unreachable makes the VM unreachable for other VMs. LoseResponses makes it
	// run forwarded work but lose the replies.
	Unreachable, LoseResponses atomic.Bool
	// SlowBy is how much longer each message of an exchange with the VM takes, in
	// nanoseconds, as when it is short of processor time.
	SlowBy atomic.Int64
	// RejectPeers makes the VM reject work and reachability queries from other VMs.
	RejectPeers atomic.Bool
	// forwardedExecutor runs the work that other VMs forward.
	forwardedExecutor *session.ForwardedExecutor
}

func (p *peerSide) delay() time.Duration { return time.Duration(p.SlowBy.Load()) }
