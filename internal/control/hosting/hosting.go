// Package hosting decides which VMs hold connections to the upstreams of which service,
// and keeps that on the blackboard. Only daemon.RunOnPlatform starts it.
package hosting

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
)

const (
	// checkInterval is the time between two checks whether peers still forward work to
	// this VM.
	checkInterval = time.Second
	// requestedFor is how long a service is hosted after a peer last requested it.
	requestedFor = 15 * time.Second
	// membersTimeout is how long the controller waits for the list of VMs at the start.
	membersTimeout = time.Second
)

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the only writer of the board's Hosting.
type Controller struct {
	c Config
	// timedOut is set once the wait for the list of VMs has ended.
	timedOut bool
	// elsewhere holds, for each service that the routes and the list of VMs assign to
	// other VMs only, those VMs. Services that this VM hosts on a peer's request are
	// still in it.
	elsewhere map[chervilladder.ServiceID]blackboard.Hosts
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("hosting: a board, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run watches the routes and the list of VMs until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	timeout := time.NewTimer(membersTimeout)
	defer timeout.Stop()
	stale := true
	for {
		routing, routed := k.c.Board.Routing.Watch()
		members, listed := k.c.Board.Members.Watch()
		_, requested := k.c.Board.ForwardedAt.Watch()
		if routing != nil && (members.Members != nil || k.timedOut) {
			if stale {
				k.assign(routing, members)
			}
			k.publish(len(members.Members) + 1)
		}
		select {
		case <-routed:
		case <-listed:
		case <-requested:
		case <-t.C:
		case <-timeout.C:
			k.timedOut = true
		case <-ctx.Done():
			return nil
		}
		stale = k.elsewhere == nil || closed(routed) || closed(listed)
	}
}

// closed reports whether a section of the blackboard has changed since it was watched.
func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// assign computes the hosts of each service.
func (k *Controller) assign(routing *chervilladder.Routing, members blackboard.Membership) {
	self := k.c.Board.Self
	vms := []chervilladder.VM{self}
	for _, id := range members.Candidates() {
		vms = append(vms, members.Members[id].VM)
	}
	isSelf := func(vm chervilladder.VM) bool { return vm.ID == self.ID }
	k.elsewhere = make(map[chervilladder.ServiceID]blackboard.Hosts)
	for service, limits := range routing.Services {
		fleet := hosting.Fleet{VMs: len(vms), Services: len(routing.Services), Connections: limits.MaxConnections}
		ranked, count := hosting.Choose(service, vms, fleet)
		if len(ranked) == 0 || slices.ContainsFunc(ranked[:count], isSelf) {
			continue // none are ranked if all VMs host the service
		}
		ordered, firstCount := hosting.Order(self.DataCentre, slices.DeleteFunc(ranked, isSelf), count)
		hosts := blackboard.Hosts{VMs: ordered, FirstCount: firstCount, HostCount: min(count, len(ordered))}
		if self.DataCentre != "" && members.Members[ordered[0]].VM.DataCentre == self.DataCentre {
			hosts.OwnCount = firstCount
		}
		k.elsewhere[service] = hosts
	}
}

// publish stores which services only other VMs host.
func (k *Controller) publish(vms int) {
	next := make(map[chervilladder.ServiceID]blackboard.Hosts)
	for service, hosts := range k.elsewhere {
		if !k.requested(service) {
			next[service] = hosts
		}
	}
	before := k.c.Board.Hosting.Load()
	same := func(a, b blackboard.Hosts) bool {
		return a.FirstCount == b.FirstCount && a.HostCount == b.HostCount && a.OwnCount == b.OwnCount && slices.Equal(a.VMs, b.VMs)
	}
	if !before.HostsUnknown && maps.EqualFunc(before.Elsewhere, next, same) {
		return
	}
	k.c.Board.Hosting.Store(blackboard.Hosting{Elsewhere: next})
	k.c.Log.WithFields(logrus.Fields{"vms": vms, "elsewhere": len(next)}).Info("hosting: hosts of services decided")
}

// requested reports whether a peer has requested a service's work from this VM within
// requestedFor.
func (k *Controller) requested(service chervilladder.ServiceID) bool {
	at, ok := k.c.Board.ForwardedAt.Load()[service]
	return ok && k.c.Clock().Sub(at) < requestedFor
}
