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

// hopTime is how long a message between two VMs takes.
const hopTime = 500 * time.Microsecond

// hops is the way between the VMs of a world. It implements
// chervilladder.Remote, Deposers and Witnesses.
type hops struct{ w *World }

// Open opens an exchange at a VM, or finds none there.
func (h hops) Open(ctx context.Context, vm chervilladder.VMID, work chervilladder.Work) (chervilladder.Exchange, error) {
	if f := h.w.OnPass; f != nil {
		f()
	}
	for _, v := range h.w.VMs {
		if v.Board.Self.ID != vm {
			continue
		}
		if v.Dark.Load() {
			<-ctx.Done()
			break
		}
		ctx, cancel := context.WithCancel(ctx)
		x, err := v.host.Open(ctx, work)
		if err != nil {
			cancel()
			return nil, err
		}
		return &hop{
			vm: v, inner: x, db: work.Database, cancel: cancel, closed: make(chan struct{}),
			passed: answer.Passed{Reads: work.Access == chervilladder.AccessRead},
		}, nil
	}
	return nil, answer.Passed{}.Lost(work.Database, ErrCut)
}

// Depose has another VM tell a primary that it leads no more.
func (h hops) Depose(ctx context.Context, peer chervilladder.Address, u chervilladder.UpstreamID, term chervilladder.Term) error {
	for _, v := range h.w.VMs {
		if chervilladder.Address(v.Board.Self.ID) == peer && !v.Dark.Load() {
			time.Sleep(hopTime)
			return v.failovers.Depose(ctx, u, term)
		}
	}
	<-ctx.Done()
	return ErrCut
}

// Reaches asks another VM which primary it reaches.
func (h hops) Reaches(ctx context.Context, peer chervilladder.Address, s chervilladder.ServiceID) (chervilladder.Led, error) {
	for _, v := range h.w.VMs {
		if chervilladder.Address(v.Board.Self.ID) == peer && !v.Dark.Load() {
			time.Sleep(hopTime)
			return v.witnesses.Reaches(ctx, s)
		}
	}
	<-ctx.Done()
	return chervilladder.Led{}, ErrCut
}

// hop is an exchange with another VM.
type hop struct {
	vm     *VM
	inner  chervilladder.Exchange
	db     chervilladder.DatabaseID
	cancel context.CancelFunc
	passed answer.Passed
	closed chan struct{}
	once   sync.Once
	// running is held while the other VM runs what it was passed.
	running sync.Mutex
}

// Send passes a batch on.
func (x *hop) Send(b chervilladder.Batch) error {
	x.passed.Sent, x.passed.Commits = true, b.Commits
	time.Sleep(hopTime)
	return x.inner.Send(b)
}

// Recv returns the answer unless the VM is dark or loses it.
func (x *hop) Recv() (chervilladder.Reply, error) {
	if x.vm.Dark.Load() {
		<-x.closed
		return chervilladder.Reply{}, x.passed.Lost(x.db, ErrCut)
	}
	r, err := x.run()
	time.Sleep(hopTime)
	if err != nil {
		return r, err
	}
	if x.vm.LoseAnswers.Load() {
		<-x.closed
		return chervilladder.Reply{}, x.passed.Lost(x.db, ErrCut)
	}
	x.passed.Open = r.Open
	return r, nil
}

// run has the other VM run what it was passed.
func (x *hop) run() (chervilladder.Reply, error) {
	x.running.Lock()
	defer x.running.Unlock()
	return x.inner.Recv()
}

// Cancel does nothing.
func (x *hop) Cancel() {}

// Close ends the exchange, at the other VM once it has run what it was passed.
func (x *hop) Close() {
	x.once.Do(func() {
		close(x.closed)
		x.cancel()
		go func() {
			x.running.Lock()
			defer x.running.Unlock()
			x.inner.Close()
		}()
	})
}

// Pass has a VM pass the service's work to others.
func (w *World) Pass(vm int, hosts ...int) {
	list := blackboard.Hosts{First: 1}
	for _, i := range hosts {
		list.VMs = append(list.VMs, chervilladder.VMID(fmt.Sprintf("vm-%d", i)))
	}
	w.VMs[vm].Board.Hosting.Store(blackboard.Hosting{Elsewhere: map[chervilladder.ServiceID]blackboard.Hosts{Service: list}})
}

// passing is what goes wrong between VMs.
type passing struct {
	// Dark VMs answer nothing to others; LoseAnswers lets them run what they
	// are passed and say nothing.
	Dark, LoseAnswers atomic.Bool
	// Leaving VMs take no more work of others.
	Leaving atomic.Bool
	host    *session.Host
}
