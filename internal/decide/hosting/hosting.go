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
// them hold connections all the time; the others do once they are asked. Hosts are
// spread over the data centres. The list is empty if all VMs hold connections.
func Of(service chervilladder.ServiceID, vms []chervilladder.VM, connections int) (list []chervilladder.VM, hosts int) {
	hosts = Hosts(len(vms), connections)
	if hosts >= len(vms) {
		return nil, len(vms)
	}
	return rendezvous.Spread(rendezvous.Task("hosting/"+service), vms, hosts+spareHosts), hosts
}

// From returns the hosts in the order in which a VM asks them: those that hold
// connections all the time first, of these those of its own data centre, and how many
// the first group holds over which its callers are spread.
func From(dc chervilladder.DataCentreID, list []chervilladder.VM, hosts int) (ordered []chervilladder.VMID, first int) {
	hosts = min(hosts, len(list))
	for _, vm := range list[:hosts] {
		if vm.DataCentre == dc {
			ordered = append(ordered, vm.ID)
		}
	}
	first = len(ordered)
	for _, vm := range list[:hosts] {
		if vm.DataCentre != dc {
			ordered = append(ordered, vm.ID)
		}
	}
	for _, vm := range list[hosts:] {
		ordered = append(ordered, vm.ID)
	}
	if first == 0 {
		first = hosts
	}
	return ordered, first
}
