// Package hosting decides which VMs hold connections to the upstreams of a
// service. If there are few VMs and an upstream accepts enough connections, all VMs
// do. Otherwise a few VMs do, the service's hosts, and the others forward their work
// to them.
package hosting

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// manyVMs is the number of VMs from which the services are divided among the
	// VMs. Status requests and connections to upstreams grow with the number of
	// hosts, and few hosts schedule an upstream's slots better.
	manyVMs = 12
	// minHostsOfMany is the least number of hosts of a service from manyVMs on.
	// If there are more than a third as many services as VMs, a VM hosts several
	// services.
	minHostsOfMany = 3
	// enoughPercent is how many connections an upstream must accept for each
	// hundred VMs for all VMs to hold some.
	enoughPercent = 150
	// hostConnections is how many of an upstream's connections each host gets if
	// only a few VMs hold them.
	hostConnections = 6
	// minHosts is the least number of hosts if connections are scarce.
	minHosts = 2
	// spareHosts is the number of further VMs that take a service's work while its
	// hosts are unreachable.
	spareHosts = 3
)

// Fleet holds what determines the number of hosts.
type Fleet struct {
	// VMs and Services are the numbers of VMs and of services.
	VMs, Services int
	// Connections is how many connections an upstream of the service accepts;
	// zero if that is not known.
	Connections int
}

// Hosts returns how many VMs hold connections to the upstreams of one service.
func (f Fleet) Hosts() int {
	hosts := f.VMs
	if f.VMs >= manyVMs && f.Services > 0 {
		hosts = max(minHostsOfMany, (f.VMs+f.Services-1)/f.Services)
	}
	if f.Connections > 0 && f.Connections*100 < f.VMs*enoughPercent {
		hosts = min(hosts, max(minHosts, f.Connections/hostConnections))
	}
	return min(f.VMs, hosts)
}

// Choose returns the VMs that take a service's work, in order of preference, and how
// many of them always hold connections; the others connect when work is forwarded to
// them. Hosts are spread over the data centres. The list is empty if all VMs hold
// connections.
func Choose(service chervilladder.ServiceID, vms []chervilladder.VM, f Fleet) (list []chervilladder.VM, hosts int) {
	hosts = f.Hosts()
	if hosts >= len(vms) {
		return nil, len(vms)
	}
	return Ranked(service, vms, hosts+spareHosts), hosts
}

// Ranked returns n VMs in order of preference as hosts of a service.
func Ranked(service chervilladder.ServiceID, vms []chervilladder.VM, n int) []chervilladder.VM {
	return rendezvous.Spread(rendezvous.Task("hosting/"+service), vms, n)
}

// Order returns the hosts in the order in which a VM forwards work to them: those that
// always hold connections first, and of these the ones of its own data centre first.
// It also returns the number of preferred hosts, at the start of the list, over which
// the VM spreads its callers.
func Order(dc chervilladder.DataCentreID, list []chervilladder.VM, hosts int) (ordered []chervilladder.VMID, preferred int) {
	hosts = min(hosts, len(list))
	for _, vm := range list[:hosts] {
		if vm.DataCentre == dc {
			ordered = append(ordered, vm.ID)
		}
	}
	preferred = len(ordered)
	for _, vm := range list[:hosts] {
		if vm.DataCentre != dc {
			ordered = append(ordered, vm.ID)
		}
	}
	for _, vm := range list[hosts:] {
		ordered = append(ordered, vm.ID)
	}
	if preferred == 0 {
		preferred = hosts
	}
	return ordered, preferred
}
