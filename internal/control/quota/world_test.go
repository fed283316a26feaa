package quota_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/quota"
	"github.com/chervilladder/chervilladder/internal/control/relay"
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

// account counts the operations of a client account.
type account struct {
	mu       sync.Mutex
	admitted []time.Time
	offered  int
	refused  int
	waited   time.Duration
	// beyond counts the operations that one token bucket of the whole quota wouldn't
	// have admitted: tokens is what it held at the time at.
	beyond int
	tokens float64
	at     time.Time
}

// offer applies an operation to the token bucket of the whole quota.
func (a *account) offer(q chervilladder.Quota) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.tokens = min(float64(q.Burst), a.tokens+now.Sub(a.at).Seconds()*float64(q.Rate))
	a.at = now
	if a.tokens >= 1 {
		a.tokens--
	} else {
		a.beyond++
	}
}

// counts returns how many operations were offered and refused.
func (a *account) counts() (offered, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offered, a.refused
}

// wronglyRefused returns how many more operations were refused than lie beyond the quota.
func (a *account) wronglyRefused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.refused-a.beyond)
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

func (v *vm) reachesStore() bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return !v.storeCut && !v.w.storeDown
}

func (v *vm) reaches(other *vm) bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.side == other.side
}

// followList reads the list of VMs as control/relay does.
func (v *vm) followList(ctx context.Context, b *blackboard.Board) {
	for !v.reachesStore() {
		if !sleep(ctx, time.Second) {
			return
		}
	}
	b.ListedBefore.Store(!v.w.announce(v.self))
	for wait := 500 * time.Millisecond; awaitListRead(ctx, b, wait/2+rand.N(wait)); wait = min(2*wait, 10*time.Second) {
		v.awaitThaw()
		if !v.reachesStore() {
			continue
		}
		at := time.Now()
		v.w.mu.Lock()
		listed := slices.Clone(v.w.listed)
		v.w.mu.Unlock()
		members := make(map[chervilladder.VMID]blackboard.Member)
		for _, other := range listed {
			members[other.ID] = blackboard.Member{VM: other}
		}
		if _, ok := members[v.self.ID]; ok {
			b.ListedAt.Raise(at)
		} else {
			v.w.announce(v.self)
		}
		delete(members, v.self.ID)
		if known := b.Members.Load().Members; known == nil || !maps.Equal(known, members) {
			b.Members.Store(blackboard.Membership{Members: members})
		}
	}
}

// awaitListRead waits for a duration, or until the list is asked for.
func awaitListRead(ctx context.Context, b *blackboard.Board, d time.Duration) bool {
	asked, first := b.ListTrigger.Watch(), min(d, 500*time.Millisecond)
	if !sleep(ctx, first) {
		return false
	}
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-asked:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// followStore keeps the board's evidence of the store, its own or a peer's.
func (v *vm) followStore(ctx context.Context, b *blackboard.Board) {
	for sleep(ctx, 300*time.Millisecond) {
		v.awaitThaw()
		v.w.mu.Lock()
		vms := slices.Clone(v.w.vms)
		v.w.mu.Unlock()
		for _, other := range vms {
			if other == v || other.current() != nil && !other.frozen() && v.reaches(other) {
				if other.reachesStore() {
					b.PeerConfirmedAt.Raise(time.Now().Add(-300 * time.Millisecond))
				}
			}
		}
	}
}

// announce adds a VM to the list, and reports whether it wasn't in it.
func (w *world) announce(vm chervilladder.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.listed, vm) {
		return false
	}
	w.listed = append(w.listed, vm)
	return true
}

// removeGone removes the entries of VMs that most others can't reach.
func (w *world) removeGone() {
	for sleep(w.ctx, time.Second) {
		w.mu.Lock()
		vms, down := slices.Clone(w.vms), w.storeDown
		w.mu.Unlock()
		for _, v := range vms {
			reached := 0
			for _, other := range vms {
				if v != other && v.current() != nil && !v.frozen() && other.current() != nil && !other.frozen() && v.reaches(other) {
					reached++
				}
			}
			if 2*reached+1 >= len(vms)/2 || v.unreachable.IsZero() {
				v.unreachable = time.Now()
			}
			if time.Since(v.unreachable) >= goneAfter && !down {
				w.mu.Lock()
				w.listed = slices.DeleteFunc(w.listed, func(l chervilladder.VM) bool { return l.ID == v.self.ID })
				w.mu.Unlock()
			}
		}
	}
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

// totals are the counts of an account at one moment.
type totals struct {
	offered, refused, beyond, admitted int
	meanWait                           time.Duration
}

// totals returns the counts. Operations may still be running.
func (a *account) totals() totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return totals{
		offered: a.offered, refused: a.refused, beyond: a.beyond, admitted: len(a.admitted),
		meanWait: a.waited / time.Duration(max(1, a.offered)),
	}
}

// most returns the greatest number of operations admitted in any window.
func (a *account) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.admitted {
		for at.Sub(a.admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
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
