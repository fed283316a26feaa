// Package forwarding keeps connections to the VMs that this VM forwards work to, and
// probes those that failed, so that no caller's request has to find out whether they
// answer again. Only daemon.RunOnPlatform starts it.
package forwarding

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

const (
	// probeInterval is the time between two rounds of probes, and maxProbes the most
	// probes that run at a time, so that their number doesn't grow with the system.
	probeInterval = 250 * time.Millisecond
	maxProbes     = 8
	// probeTimeout is longer than a VM takes to answer that it reaches no primary.
	probeTimeout = 400 * time.Millisecond
	// maxKept bounds the VMs to which connections are kept, and keptPerService those of
	// one service.
	maxKept        = 64
	keptPerService = 8
)

// part names this package in reports of panics.
const part recovery.Part = "forwarding"

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	// Connections keeps connections to other VMs, and Peers probes them.
	Connections chervilladder.Connector
	Peers       chervilladder.PeerReachability
	Log         *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the only writer of Disconnected of the board's ForwardTargets.
type Controller struct {
	c Config
	// kept holds the VMs to which connections are kept. Only Run's goroutine uses it.
	kept    map[chervilladder.VMID]keptConnection
	mu      sync.Mutex
	probing map[blackboard.ServiceHost]bool
	running sync.WaitGroup
}

// keptConnection is a connection that is kept.
type keptConnection struct {
	peer chervilladder.Address
	stop context.CancelFunc
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Connections == nil || c.Peers == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("forwarding: a board, connections, peers, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run keeps the connections and probes VMs until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer k.running.Wait()
	defer stop()
	k.kept = make(map[chervilladder.VMID]keptConnection) // those of a run that panicked have ended
	k.probing = make(map[blackboard.ServiceHost]bool)
	for {
		hosting, changed := k.c.Board.Hosting.Watch()
		members, listed := k.c.Board.Members.Watch()
		k.keepConnections(ctx, wantedPeers(hosting, members))
		if !k.probeUntil(ctx, changed, listed, hosting, members) {
			return nil
		}
	}
}

// probeUntil starts rounds of probes until the hosts or the VMs change. It returns false
// if the context ends.
func (k *Controller) probeUntil(ctx context.Context, changed, listed <-chan struct{}, h blackboard.Hosting, members blackboard.Membership) bool {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-changed:
			return true
		case <-listed:
			return true
		case <-t.C:
			k.probe(ctx, h, members)
		case <-ctx.Done():
			return false
		}
	}
}

// wantedPeers returns the VMs to keep connections to: of each service in turn the first
// host, then the second and so on.
func wantedPeers(h blackboard.Hosting, members blackboard.Membership) map[chervilladder.VMID]chervilladder.Address {
	wanted := make(map[chervilladder.VMID]chervilladder.Address)
	services := slices.Sorted(maps.Keys(h.Elsewhere))
	for i := range keptPerService {
		for _, service := range services {
			hosts := h.Elsewhere[service]
			if i >= len(hosts.VMs) || hosts.IsSpare(i) || len(wanted) >= maxKept {
				continue
			}
			if m, listed := members.Members[hosts.VMs[i]]; listed {
				wanted[hosts.VMs[i]] = m.VM.Peer
			}
		}
	}
	return wanted
}

// keepConnections starts to keep the wanted connections, and stops to keep others. These
// aren't closed: work may still run over them.
func (k *Controller) keepConnections(ctx context.Context, wanted map[chervilladder.VMID]chervilladder.Address) {
	for vm, c := range k.kept {
		if wanted[vm] != c.peer {
			c.stop()
			delete(k.kept, vm)
		}
	}
	for vm, peer := range wanted {
		if _, kept := k.kept[vm]; !kept {
			k.keep(ctx, vm, peer)
		}
	}
}

// keep starts to keep a connection.
func (k *Controller) keep(ctx context.Context, vm chervilladder.VMID, peer chervilladder.Address) {
	ctx, stop := context.WithCancel(ctx)
	k.kept[vm] = keptConnection{peer: peer, stop: stop}
	target := k.c.Board.ForwardTargets.Get(vm)
	report := func(connected bool) {
		if target.Disconnected.Swap(!connected) == connected {
			k.c.Log.WithFields(logrus.Fields{"peer": vm, "connected": connected}).Info("forwarding: connection to a host changed")
		}
	}
	k.running.Go(func() {
		_ = recovery.Call(k.c.Log, part, func() { k.c.Connections.KeepConnected(ctx, peer, report) }) // then calls open it
		target.Disconnected.Store(false)                                                              // it is not known any more
	})
}

// probe starts probes of the hosts that something is known against.
func (k *Controller) probe(ctx context.Context, h blackboard.Hosting, members blackboard.Membership) {
	for service, hosts := range h.Elsewhere {
		avoided := k.someReachPrimary(service, hosts)
		for i, vm := range hosts.VMs {
			host := blackboard.ServiceHost{VM: vm, Service: service}
			m, listed := members.Members[vm]
			needed := k.failing(vm) || avoided && !hosts.IsSpare(i) && k.noPrimary(host)
			if !listed || !needed || !k.start(host) {
				continue
			}
			k.running.Go(func() {
				defer k.finish(host)
				_ = recovery.Call(k.c.Log, part, func() { k.probeHost(ctx, host, m.VM.Peer, hosts.IsSpare(i)) }) // the next round tries again
			})
		}
	}
}

// someReachPrimary reports whether some host of a service may reach the primary. If none
// may, requests are sent to hosts that reported they don't, and the answers to these show
// what probes would.
func (k *Controller) someReachPrimary(service chervilladder.ServiceID, hosts blackboard.Hosts) bool {
	for i, vm := range hosts.VMs {
		if !hosts.IsSpare(i) && !k.noPrimary(blackboard.ServiceHost{VM: vm, Service: service}) {
			return true
		}
	}
	return false
}

// failing reports whether a VM has failed to answer.
func (k *Controller) failing(vm chervilladder.VMID) bool {
	t, known := k.c.Board.ForwardTargets.Find(vm)
	return known && t.Failing()
}

// noPrimary reports whether a host has reported that it doesn't reach the primary. A spare
// host isn't probed for that: it may only not be connected.
func (k *Controller) noPrimary(host blackboard.ServiceHost) bool {
	s, known := k.c.Board.HostStates.Find(host)
	return known && s.NoPrimary()
}

// start registers a probe of a host. It returns false if one of that host is running, or
// maxProbes in all.
func (k *Controller) start(host blackboard.ServiceHost) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.probing) >= maxProbes || k.probing[host] {
		return false
	}
	k.probing[host] = true
	return true
}

// finish removes a probe that has ended.
func (k *Controller) finish(host blackboard.ServiceHost) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.probing, host)
}

// probeHost asks a host once whether it reaches the primary, and records what its answer,
// or its silence, says about it.
func (k *Controller) probeHost(ctx context.Context, host blackboard.ServiceHost, peer chervilladder.Address, spare bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := k.c.Peers.ReachablePrimary(ctx, peer, host.Service)
	target := k.c.Board.ForwardTargets.Get(host.VM)
	var unreachable *chervilladder.PrimaryUnreachableError
	refused := errors.As(err, &unreachable)
	if err != nil && !refused {
		target.Failed(k.c.Clock())
		return
	}
	target.Answered(k.c.Clock())
	if !spare {
		k.c.Board.HostStates.Get(host).ReportPrimary(!refused, k.c.Clock())
	}
}
