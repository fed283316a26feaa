package quota_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/quota"
	"github.com/chervilladder/chervilladder/internal/control/relay"
	"github.com/sirupsen/logrus"
)

const (
	// window is that of the deployment, over which quotas must hold.
	window = 5 * time.Second
	// delay is one way between two VMs.
	delay = 1400 * time.Microsecond
	// goneAfter is after how long an unreachable VM's entry is removed.
	goneAfter = 45 * time.Second
	// overhead is the size of a message besides its demands or loans, and perAccount
	// that of one of these, as they are encoded.
	overhead, perAccount = 120, 36
)

var errUnreachable = errors.New("unreachable")

// world is a system of VMs in virtual time, with a store that holds the list of VMs.
type world struct {
	mu       sync.Mutex
	vms      []*vm
	listed   []chervilladder.VM
	routing  *chervilladder.Routing
	random   *rand.Rand
	accounts map[chervilladder.AccountID]*account
	stop     context.CancelFunc
	ctx      context.Context
	running  sync.WaitGroup
	messages atomic.Int64
	bytes    atomic.Int64
	began    time.Time
	// storeDown is set while no VM reaches the store.
	storeDown bool
}

// vm is one VM. Its controller is replaced when it restarts.
type vm struct {
	w    *world
	self chervilladder.VM

	mu         sync.Mutex
	board      *blackboard.Board
	controller *quota.Controller
	cancel     context.CancelFunc // nil while it doesn't run
	thawed     chan struct{}      // closed unless it is frozen
	// storeCut is set while it doesn't reach the store, side is the side of a
	// partition that it is on.
	storeCut    bool
	side        int
	unreachable time.Time
	load        map[chervilladder.AccountID]float64 // operations a second
}

func newWorld(n int, quotas map[chervilladder.AccountID]chervilladder.Quota, seed uint64) *world {
	w := &world{
		routing:  &chervilladder.Routing{Accounts: &chervilladder.Accounts{Quotas: quotas}},
		random:   rand.New(rand.NewPCG(seed, 0)),
		accounts: make(map[chervilladder.AccountID]*account),
		began:    time.Now(),
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	for a := range quotas {
		w.accounts[a] = &account{}
	}
	for range n {
		w.add()
	}
	w.running.Go(w.removeGone)
	return w
}

// add starts a new VM.
func (w *world) add() *vm {
	i := len(w.vms)
	id := fmt.Sprintf("vm-%d", i)
	v := &vm{w: w, self: chervilladder.VM{ID: chervilladder.VMID(id), Peer: chervilladder.Address(id), DataCentre: chervilladder.DataCentreID(fmt.Sprint("dc-", i%3))}}
	v.thawed = make(chan struct{})
	close(v.thawed)
	w.mu.Lock()
	w.vms = append(w.vms, v)
	w.mu.Unlock()
	v.start()
	return v
}

func (w *world) end() {
	w.mu.Lock()
	vms := slices.Clone(w.vms)
	w.mu.Unlock()
	for _, v := range vms {
		v.thaw()
	}
	w.stop()
	w.running.Wait()
}

func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cancel != nil {
		return
	}
	b := blackboard.New(v.self)
	b.Routing.Store(v.w.routing)
	b.Bounds.Store(chervilladder.Bounds{QuotaWindow: window})
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := quota.New(quota.Config{Board: b, Peers: link{v}, Log: log, Clock: v.clock, MaxListAge: relay.MaxListAge})
	if err != nil {
		panic(err)
	}
	v.board, v.controller = b, k
	ctx, cancel := context.WithCancel(v.w.ctx)
	v.cancel = cancel
	v.w.running.Go(func() { _ = k.Run(ctx) })
	v.w.running.Go(func() { v.followList(ctx, b) })
	v.w.running.Go(func() { v.followStore(ctx, b) })
}

// kill ends the VM's process.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cancel != nil {
		v.cancel()
		v.cancel = nil
	}
}

func (v *vm) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.thawed:
		v.thawed = make(chan struct{})
	default: // it is frozen already
	}
}

func (v *vm) thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.thawed:
	default:
		close(v.thawed)
	}
}

// awaitThaw waits while the VM is frozen.
func (v *vm) awaitThaw() {
	v.mu.Lock()
	thawed := v.thawed
	v.mu.Unlock()
	<-thawed
}

// clock is the VM's clock. A frozen VM stops where it reads it.
func (v *vm) clock() time.Time {
	v.awaitThaw()
	return time.Now()
}

func (v *vm) current() *quota.Controller {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cancel == nil {
		return nil
	}
	return v.controller
}

// ready reports whether callers are sent to the VM.
func (v *vm) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cancel != nil && quota.Ready(v.board)
}

func (v *vm) frozen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.thawed:
		return false
	default:
		return true
	}
}

func (v *vm) reaches(other *vm) bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.side == other.side
}

// link is a VM's network.
type link struct{ v *vm }

func (l link) Lend(ctx context.Context, peer chervilladder.Address, demands []chervilladder.QuotaDemand) ([]chervilladder.QuotaLoan, error) {
	l.v.w.messages.Add(1)
	l.v.w.bytes.Add(2*overhead + 2*perAccount*int64(len(demands)))
	if !sleep(ctx, delay) {
		return nil, ctx.Err()
	}
	l.v.w.mu.Lock()
	i := slices.IndexFunc(l.v.w.vms, func(v *vm) bool { return v.self.Peer == peer })
	other := l.v.w.vms[i]
	l.v.w.mu.Unlock()
	k := other.current()
	if k == nil {
		return nil, errUnreachable
	}
	if !l.v.reaches(other) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	type reply struct {
		loans []chervilladder.QuotaLoan
		err   error
	}
	replied := make(chan reply, 1)
	l.v.w.running.Go(func() {
		other.awaitThaw()
		loans, err := k.Lend(ctx, l.v.self.ID, demands)
		time.Sleep(delay)
		replied <- reply{loans, err}
	})
	select {
	case r := <-replied:
		if !l.v.reaches(other) {
			return nil, errUnreachable
		}
		return r.loans, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// setLoad sets how many operations of an account the callers at a VM offer a second.
func (v *vm) setLoad(id chervilladder.AccountID, rate float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.load == nil {
		v.load = make(map[chervilladder.AccountID]float64)
	}
	if _, offered := v.load[id]; !offered && rate > 0 {
		v.w.running.Go(func() { v.offer(id) })
	}
	v.load[id] = rate
}

// idleCheck is after how long callers look whether there is load again.
const idleCheck = 50 * time.Millisecond

// offer has callers run operations at random times, at the mean rate of setLoad.
func (v *vm) offer(id chervilladder.AccountID) {
	for {
		v.mu.Lock()
		rate := v.load[id]
		v.mu.Unlock()
		pause := idleCheck
		if rate > 0 {
			pause = time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		}
		if !sleep(v.w.ctx, pause) {
			return
		}
		if k := v.current(); rate > 0 && v.ready() && !v.frozen() {
			v.w.running.Go(func() { v.w.admit(k, id) })
		}
	}
}

// admit runs one operation.
func (w *world) admit(k *quota.Controller, id chervilladder.AccountID) {
	a, began := w.accounts[id], time.Now()
	a.offer(w.routing.Accounts.Quotas[id])
	err := k.Admit(w.ctx, id)
	now := time.Now()
	if w.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offered++
	a.waited += now.Sub(began)
	if err != nil {
		a.refused++
	} else {
		a.admitted = append(a.admitted, now)
	}
}

// wronglyRefused returns the sum over all accounts but one.
func (w *world) wronglyRefused(except chervilladder.AccountID) int {
	sum := 0
	for id, a := range w.accounts {
		if id != except {
			sum += a.wronglyRefused()
		}
	}
	return sum
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
