// Package hosting decides which VMs hold connections to the upstreams of a
// service. While there are few VMs and an upstream takes enough connections, all do;
// else a few, and the others pass their work to these.
package hosting

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// manyVMs is from how many VMs on each hosts about one service: questions
	// to upstreams and connections grow with the VMs that ask, and the slots of
	// an upstream are shared out best by a few.
	manyVMs = 12
	// hostsOfMany is how many hosts a service then has at least.
	hostsOfMany = 3
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

// Fleet is what the number of hosts follows from.
type Fleet struct {
	// VMs is how many VMs there are, Services how many services.
	VMs, Services int
	// Connections is how many connections an upstream of the service takes;
	// zero if that is not known.
	Connections int
}

// Hosts returns how many VMs hold connections to the upstreams of one service.
func (f Fleet) Hosts() int {
	hosts := f.VMs
	if f.VMs >= manyVMs && f.Services > 0 {
		hosts = max(hostsOfMany, (f.VMs+f.Services-1)/f.Services)
	}
	if f.Connections > 0 && f.Connections*100 < f.VMs*enoughPercent {
		hosts = min(hosts, max(minHosts, f.Connections/hostConnections))
	}
	return min(f.VMs, hosts)
}

// Of returns the VMs to ask for a service's work, best first, and how many of
// them hold connections all the time; the others do once they are asked. Hosts are
// spread over the data centres. The list is empty if all VMs hold connections.
func Of(service chervilladder.ServiceID, vms []chervilladder.VM, f Fleet) (list []chervilladder.VM, hosts int) {
	hosts = f.Hosts()
	if hosts >= len(vms) {
		return nil, len(vms)
	}
	return Ranked(service, vms, hosts+spareHosts), hosts
}

// Ranked returns n VMs in the order in which they are to host a service.
func Ranked(service chervilladder.ServiceID, vms []chervilladder.VM, n int) []chervilladder.VM {
	return rendezvous.Spread(rendezvous.Task("hosting/"+service), vms, n)
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
