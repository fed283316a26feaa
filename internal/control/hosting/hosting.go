// Package hosting keeps on the blackboard which VMs hold connections to the
// upstreams of which service.
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

// The pace of the controller.
const (
	// lookEvery is how often it is looked whether peers still ask.
	lookEvery = time.Second
	// askedFor is how long a service is hosted after a peer has asked for it.
	askedFor = 15 * time.Second
	// aloneAfter is how long the list of VMs is waited for at the start.
	aloneAfter = time.Second
)

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Hosting.
type Controller struct {
	c Config
	// alone is set once the list of VMs is waited for no more.
	alone bool
	// elsewhere holds the hosts of the services that this VM is none of, by
	// the routes and the list of VMs.
	elsewhere map[chervilladder.ServiceID]blackboard.Hosts
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("hosting: a board, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run follows the routes and the list of VMs until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	alone := time.NewTimer(aloneAfter)
	defer alone.Stop()
	stale := true
	for {
		routing, routed := k.c.Board.Routing.Watch()
		members, listed := k.c.Board.Members.Watch()
		_, asked := k.c.Board.Asked.Watch()
		if routing != nil && (members.Members != nil || k.alone) {
			if stale {
				k.name(routing, members)
			}
			k.decide(len(members.Members) + 1)
		}
		select {
		case <-routed:
		case <-listed:
		case <-asked:
		case <-t.C:
		case <-alone.C:
			k.alone = true
		case <-ctx.Done():
			return nil
		}
		stale = k.elsewhere == nil || closed(routed) || closed(listed)
	}
}

// closed reports whether a section has changed since it was watched.
func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// name names the hosts of each service.
func (k *Controller) name(routing *chervilladder.Routing, members blackboard.Membership) {
	self := k.c.Board.Self
	vms := []chervilladder.VM{self}
	for _, id := range members.Candidates() {
		vms = append(vms, members.Members[id].VM)
	}
	isSelf := func(vm chervilladder.VM) bool { return vm.ID == self.ID }
	k.elsewhere = make(map[chervilladder.ServiceID]blackboard.Hosts)
	for service, limits := range routing.Services {
		fleet := hosting.Fleet{VMs: len(vms), Services: len(routing.Services), Connections: limits.MaxConnections}
		list, hosts := hosting.Of(service, vms, fleet)
		if len(list) == 0 || slices.ContainsFunc(list[:hosts], isSelf) {
			continue
		}
		ordered, first := hosting.From(self.DataCentre, slices.DeleteFunc(list, isSelf), hosts)
		k.elsewhere[service] = blackboard.Hosts{VMs: ordered, First: first}
	}
}

// decide says which services other VMs host.
func (k *Controller) decide(vms int) {
	next := make(map[chervilladder.ServiceID]blackboard.Hosts)
	for service, hosts := range k.elsewhere {
		if !k.asked(service) {
			next[service] = hosts
		}
	}
	before := k.c.Board.Hosting.Load()
	same := func(a, b blackboard.Hosts) bool { return a.First == b.First && slices.Equal(a.VMs, b.VMs) }
	if !before.Deciding && maps.EqualFunc(before.Elsewhere, next, same) {
		return
	}
	k.c.Board.Hosting.Store(blackboard.Hosting{Elsewhere: next})
	k.c.Log.WithFields(logrus.Fields{"vms": vms, "elsewhere": len(next)}).Info("hosting: hosts of services decided")
}

// asked reports whether a peer has lately asked this VM for a service's work.
func (k *Controller) asked(service chervilladder.ServiceID) bool {
	at, ok := k.c.Board.Asked.Load()[service]
	return ok && k.c.Clock().Sub(at) < askedFor
}
