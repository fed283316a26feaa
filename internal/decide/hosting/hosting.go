// Package hosting decides which VMs hold connections to the upstreams of a
// service. Where an upstream takes enough connections, all do; else a few, and
// the others pass their work to these.
package hosting

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// enoughPercent is how many connections an upstream must take for each
	// hundred VMs, for all of them to hold some.
	enoughPercent = 150
	// hostConnections is how many of an upstream's connections there are for
	// each VM if a few hold them.
	hostConnections = 6
	// minHosts is how many VMs hold them at least.
	minHosts = 2
	// spareHosts is how many more are named, to be asked while the first are
	// out of reach.
	spareHosts = 3
)

// Hosts returns how many VMs hold connections to upstreams that take so many
// each. An unknown limit counts as enough.
func Hosts(vms, connections int) int {
	if connections <= 0 || connections*100 >= vms*enoughPercent {
		return vms
	}
	return min(vms, max(minHosts, connections/hostConnections))
}

// Of returns the VMs to ask for a service's work, best first, and how many of
// them hold connections all the time; the others do once they are asked. The
// list is empty if all VMs hold connections.
func Of(service chervilladder.ServiceID, vms []chervilladder.VMID, connections int) (list []chervilladder.VMID, hosts int) {
	hosts = Hosts(len(vms), connections)
	if hosts >= len(vms) {
		return nil, len(vms)
	}
	ranked := rendezvous.Ranked(rendezvous.Task("hosting/"+service), vms)
	return ranked[:min(len(ranked), hosts+spareHosts)], hosts
}
