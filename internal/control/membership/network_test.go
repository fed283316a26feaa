package membership_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/membership"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/platformtest"
)

// packetHeaderBytes is the size of the IP and UDP headers of a datagram.
const packetHeaderBytes = 28

const oneWayDelay = 500 * time.Microsecond

// network simulates the network between the VMs of a test.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	inbox  map[chervilladder.Address]chan datagram
	side   map[chervilladder.Address]int
	// paused holds a channel for each paused VM, which is closed when the VM
	// resumes.
	paused map[chervilladder.Address]chan struct{}
	bytes  int64
	// pulled counts the bytes of pulled configurations.
	pulled int64
	vms    map[chervilladder.Address]*vm
}

type datagram struct {
	from chervilladder.Address
	data []byte
}

// port is the connection of one VM to the network.
type port struct {
	net     *network
	address chervilladder.Address
}

const testKey peer.Key = "a key"

func newNetwork() *network {
	return &network{
		vms:    make(map[chervilladder.Address]*vm),
		random: rand.New(rand.NewPCG(1, 2)),
		inbox:  make(map[chervilladder.Address]chan datagram),
		side:   make(map[chervilladder.Address]int),
		paused: make(map[chervilladder.Address]chan struct{}),
	}
}

func (n *network) open(a chervilladder.Address) *port {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbox[a] = make(chan datagram, 1024)
	return &port{net: n, address: a}
}

func (p *port) Send(to chervilladder.Address, m chervilladder.GossipMessage) error {
	data, err := peer.EncodeDatagram(testKey, m)
	if err != nil {
		return err
	}
	n := p.net
	n.awaitResume(p.address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += int64(len(data) + packetHeaderBytes)
	if n.random.Float64() < n.loss || n.side[p.address] != n.side[to] || n.side[to] == isolated {
		return nil
	}
	time.AfterFunc(oneWayDelay, func() { n.deliver(to, datagram{p.address, data}) })
	return nil
}

// awaitResume blocks while a VM is paused.
func (n *network) awaitResume(a chervilladder.Address) {
	n.mu.Lock()
	resumed := n.paused[a]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *network) deliver(to chervilladder.Address, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case n.inbox[to] <- d:
	default:
	}
}

func (p *port) Receive(ctx context.Context) (chervilladder.Address, chervilladder.GossipMessage, error) {
	p.net.mu.Lock()
	inbox := p.net.inbox[p.address]
	p.net.mu.Unlock()
	select {
	case d := <-inbox:
		m, err := peer.DecodeDatagram(testKey, d.data)
		return d.from, m, err
	case <-ctx.Done():
		return "", chervilladder.GossipMessage{}, ctx.Err()
	}
}

// platform is a stand-in for the platform that counts calls for the list of VMs.
type platform struct {
	*platformtest.Store
	listCalls atomic.Int64
}

func (p *platform) VMs(ctx context.Context) ([]chervilladder.VM, error) {
	p.listCalls.Add(1)
	return p.Store.VMs(ctx)
}

func (n *network) countPulled() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pulled
}

// fleet runs the controllers of a number of VMs.
type fleet struct {
	t        *testing.T
	net      *network
	platform *platform
	vms      []*vm
}

type vm struct {
	board *blackboard.Board
	stop  context.CancelFunc
	done  chan struct{}
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, net: newNetwork(), platform: &platform{Store: platformtest.New()}}
	f.platform.SetVMs(identities(size)...)
	for i := range size {
		f.start(i)
	}
	t.Cleanup(f.stopAll)
	return f
}

func identities(n int) []chervilladder.VM {
	var list []chervilladder.VM
	for i := range n {
		list = append(list, identity(i))
	}
	return list
}

func identity(i int) chervilladder.VM {
	return chervilladder.VM{
		ID:         chervilladder.VMID(fmt.Sprintf("entry-%04d", i)),
		DataCentre: "cr-central-a",
		Peer:       chervilladder.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)),
	}
}

// start starts or restarts a VM.
func (f *fleet) start(i int, join ...chervilladder.Address) *vm {
	self := identity(i)
	f.net.mu.Lock()
	f.net.side[self.Peer] = 0
	f.net.mu.Unlock()
	v := &vm{board: blackboard.New(self), done: make(chan struct{})}
	c, err := membership.New(membership.Config{
		Board:    v.board,
		Platform: f.platform,
		Gossip:   f.net.open(self.Peer),
		Log:      silent(),
		Join:     join,
		Random:   rand.New(rand.NewPCG(uint64(i), 7)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.mu.Lock()
	f.net.vms[self.Peer] = v
	f.net.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	runConfiguration := f.configurationRunner(ctx, v)
	go func() {
		defer close(v.done)
		var parts sync.WaitGroup
		defer parts.Wait()
		parts.Go(runConfiguration)
		if err := c.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	if i < len(f.vms) {
		f.vms[i] = v
	} else {
		f.vms = append(f.vms, v)
	}
	return v
}

func silent() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// isolated is the side of VMs that can't reach any other.
const isolated = -1

// kill stops a VM without its last messages being delivered.
func (f *fleet) kill(i int) {
	f.net.mu.Lock()
	f.net.side[identity(i).Peer] = isolated
	f.net.mu.Unlock()
	f.vms[i].end()
}

// pause blocks a VM at its next message to send. Messages to it are buffered until it
// resumes, up to the size of its inbox.
func (f *fleet) pause(i int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.paused[identity(i).Peer] = make(chan struct{})
}

func (f *fleet) resume(i int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	close(f.net.paused[identity(i).Peer])
	delete(f.net.paused, identity(i).Peer)
}

// split partitions the network: VMs with an index below from on one side, all others on
// the other.
func (f *fleet) split(from int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for i := range f.vms {
		side := 0
		if i >= from {
			side = 1
		}
		f.net.side[identity(i).Peer] = side
	}
}

func (v *vm) end() {
	v.stop()
	<-v.done
}

func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.end()
	}
}

// state returns the state of one VM as another one sees it.
func (f *fleet) state(at, of int) blackboard.MemberState {
	m, ok := f.vms[at].board.Members.Load().Members[identity(of).ID]
	if !ok {
		return blackboard.MemberDead
	}
	return m.State
}

// countWithState counts the other VMs that see a VM in a state.
func (f *fleet) countWithState(of int, s blackboard.MemberState) int {
	n := 0
	for at := range f.vms {
		if at != of && f.state(at, of) == s {
			n++
		}
	}
	return n
}

// await waits until all other VMs see a VM in a state, and returns how long that took.
func (f *fleet) await(of int, s blackboard.MemberState, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.countWithState(of, s) < len(f.vms)-1 {
		if time.Since(start) > limit {
			f.t.Fatalf("after %s %d of %d VMs see VM %d as %s", limit, f.countWithState(of, s), len(f.vms)-1, of, s)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitAll waits until every VM sees every VM as alive, and returns how long that took.
func (f *fleet) awaitAll(limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !f.allAlive() {
		if time.Since(start) > limit {
			f.t.Fatalf("after %s not every VM sees every VM as alive", limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// countDead counts, over the lists of all VMs, the members that are seen as dead.
func (f *fleet) countDead() int {
	n := 0
	for _, v := range f.vms {
		for _, m := range v.board.Members.Load().Members {
			if m.State == blackboard.MemberDead {
				n++
			}
		}
	}
	return n
}

func (f *fleet) allAlive() bool {
	for _, v := range f.vms {
		alive := 0
		for _, m := range v.board.Members.Load().Members {
			if m.State == blackboard.MemberAlive {
				alive++
			}
		}
		if alive != len(f.vms) {
			return false
		}
	}
	return true
}

// bytesPerSecond returns the mean rate of bytes that each VM sends and receives,
// together, over a duration.
func (f *fleet) bytesPerSecond(d time.Duration) float64 {
	f.net.mu.Lock()
	f.net.bytes = 0
	f.net.mu.Unlock()
	time.Sleep(d)
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return 2 * float64(f.net.bytes) / float64(len(f.vms)) / d.Seconds()
}
