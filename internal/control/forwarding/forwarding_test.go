package forwarding_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/forwarding"
)

const service = chervilladder.ServiceID("s")

// network is the other VMs. It implements chervilladder.Connector and PeerReachability.
type network struct {
	mu          sync.Mutex
	kept        map[chervilladder.Address]bool
	probes      map[chervilladder.Address]int
	running     int
	mostRunning int
	answer      error
	takes       time.Duration
}

func (n *network) KeepConnected(ctx context.Context, peer chervilladder.Address, report func(bool)) {
	n.set(n.kept, peer, true)
	report(true)
	<-ctx.Done()
	n.set(n.kept, peer, false)
}

func (n *network) set(m map[chervilladder.Address]bool, peer chervilladder.Address, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v {
		m[peer] = true
	} else {
		delete(m, peer)
	}
}

func (n *network) ReachablePrimary(_ context.Context, peer chervilladder.Address, _ chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	n.mu.Lock()
	n.probes[peer]++
	n.running++
	n.mostRunning = max(n.mostRunning, n.running)
	takes := n.takes
	n.mu.Unlock()
	time.Sleep(takes)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running--
	return chervilladder.PrimaryTerm{}, n.answer
}

// reply sets what probes are answered, and after how long.
func (n *network) reply(err error, takes time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer, n.takes = err, takes
}

// probed returns how often a host was probed.
func (n *network) probed(peer chervilladder.Address) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes[peer]
}

// run runs a controller of a VM that forwards the service's work to 20 hosts.
func run(t *testing.T, f func(is *is.I, b *blackboard.Board, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{kept: map[chervilladder.Address]bool{}, probes: map[chervilladder.Address]int{}}
		b := blackboard.New(chervilladder.VM{ID: "self"})
		members := make(map[chervilladder.VMID]blackboard.Member)
		hosts := blackboard.Hosts{FirstCount: 3, HostCount: 17}
		for i := range 20 {
			id := chervilladder.VMID(fmt.Sprint("vm-", i))
			members[id] = blackboard.Member{VM: chervilladder.VM{ID: id, Peer: chervilladder.Address(id)}}
			hosts.VMs = append(hosts.VMs, id)
		}
		b.Members.Store(blackboard.Membership{Members: members})
		b.Hosting.Store(blackboard.Hosting{Elsewhere: map[chervilladder.ServiceID]blackboard.Hosts{service: hosts}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		k, err := forwarding.New(forwarding.Config{Board: b, Connections: n, Peers: n, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		synctest.Wait()
		f(is, b, n)
		stop()
		is.NoErr(<-ended)
	})
}

// Connections are kept to a bounded number of hosts, and no longer to a VM that has left.
func TestConnectionsToTheFirstHostsAreKept(t *testing.T) {
	run(t, func(is *is.I, b *blackboard.Board, n *network) {
		is.Equal(len(n.kept), 8)
		is.True(n.kept["vm-0"])
		b.Members.Update(func(m blackboard.Membership) blackboard.Membership {
			next := make(map[chervilladder.VMID]blackboard.Member)
			for id, v := range m.Members {
				if id != "vm-0" {
					next[id] = v
				}
			}
			return blackboard.Membership{Members: next}
		})
		synctest.Wait()
		is.Equal(len(n.kept), 7)
	})
}

// With many services the number of connections must not grow to all VMs.
func TestKeptConnectionsAreBounded(t *testing.T) {
	run(t, func(is *is.I, b *blackboard.Board, n *network) {
		members := make(map[chervilladder.VMID]blackboard.Member)
		elsewhere := make(map[chervilladder.ServiceID]blackboard.Hosts)
		for i := range 400 {
			id := chervilladder.VMID(fmt.Sprint("vm-", i))
			members[id] = blackboard.Member{VM: chervilladder.VM{ID: id, Peer: chervilladder.Address(id)}}
			elsewhere[chervilladder.ServiceID(fmt.Sprint("s", i))] = blackboard.Hosts{VMs: []chervilladder.VMID{id}, FirstCount: 1, HostCount: 1}
		}
		b.Members.Store(blackboard.Membership{Members: members})
		b.Hosting.Store(blackboard.Hosting{Elsewhere: elsewhere})
		synctest.Wait()
		is.Equal(len(n.kept), 64)
	})
}

// While nothing is known against a host, none is probed: probes would grow with the system.
func TestNoProbesWithoutAFailure(t *testing.T) {
	run(t, func(is *is.I, _ *blackboard.Board, n *network) {
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(n.probes), 0)
	})
}

// A host that failed is probed until it answers, a few at a time at most.
func TestFailedHostsAreProbed(t *testing.T) {
	run(t, func(is *is.I, b *blackboard.Board, n *network) {
		n.reply(errors.New("silent"), 200*time.Millisecond)
		for i := range 20 {
			b.ForwardTargets.Get(chervilladder.VMID(fmt.Sprint("vm-", i))).Failed(time.Now())
		}
		time.Sleep(5 * time.Second)
		is.True(n.probed("vm-0") >= 5)
		synctest.Wait()
		is.True(n.mostRunning <= 8)
		is.True(b.ForwardTargets.Get("vm-0").Failing())
		n.reply(&chervilladder.PrimaryUnreachableError{Service: service}, 0) // an answer, too
		time.Sleep(2 * time.Second)
		is.True(!b.ForwardTargets.Get("vm-0").Failing())
	})
}

// A host that reaches no primary is probed until it does, as long as work avoids it: if no
// host reaches one, requests find out.
func TestHostsWithoutPrimaryAreProbedWhileOthersReachIt(t *testing.T) {
	run(t, func(is *is.I, b *blackboard.Board, n *network) {
		state := b.HostStates.Get(blackboard.ServiceHost{VM: "vm-1", Service: service})
		state.ReportPrimary(false, time.Now())
		time.Sleep(time.Second)
		is.True(n.probed("vm-1") > 0)
		is.True(!state.NoPrimary())
		n.reply(&chervilladder.PrimaryUnreachableError{Service: service}, 0)
		for i := range 17 {
			b.HostStates.Get(blackboard.ServiceHost{VM: chervilladder.VMID(fmt.Sprint("vm-", i)), Service: service}).ReportPrimary(false, time.Now())
		}
		before := n.probed("vm-1")
		time.Sleep(5 * time.Second)
		is.Equal(n.probed("vm-1"), before)
	})
}
