package blackboard

import "github.com/chervilladder/chervilladder"

// Hosting says which VMs hold connections to the upstreams of each service.
type Hosting struct {
	// HostsUnknown is set until the hosts are known for the first time.
	HostsUnknown bool
	// Elsewhere holds the hosts of the services that this VM doesn't host.
	Elsewhere map[chervilladder.ServiceID]Hosts
}

// Hosts holds the VMs to forward a service's work to.
type Hosts struct {
	// VMs are in the order in which they are tried. Callers are spread over the
	// first FirstCount of them.
	VMs        []chervilladder.VMID
	FirstCount int
	// HostCount is how many of them, from the start, always hold connections to the
	// service's upstreams. The others connect when work is forwarded to them.
	HostCount int
}

// IsSpare reports whether the i-th VM connects to the upstreams only when work is
// forwarded to it.
func (h Hosts) IsSpare(i int) bool { return i >= max(h.FirstCount, h.HostCount) }

// Here reports whether this VM holds connections to a service's upstreams.
func (h Hosting) Here(s chervilladder.ServiceID) bool {
	_, elsewhere := h.Elsewhere[s]
	return !elsewhere && !h.HostsUnknown
}
