package blackboard

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/locality"
)

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
	// OwnCount is how many of them, from the start, are in this VM's data centre.
	OwnCount int
}

// LeavesDataCentre reports whether there is a choice between hosts of this VM's data
// centre and hosts of others.
func (h Hosts) LeavesDataCentre() bool { return h.OwnCount > 0 && h.OwnCount < h.HostCount }

// IsSpare reports whether the i-th VM connects to the upstreams only when work is
// forwarded to it.
func (h Hosts) IsSpare(i int) bool { return i >= max(h.FirstCount, h.HostCount) }

// Here reports whether this VM holds connections to a service's upstreams.
func (h Hosting) Here(s chervilladder.ServiceID) bool {
	_, elsewhere := h.Elsewhere[s]
	return !elsewhere && !h.HostsUnknown
}

// Kind is a kind of work that waits alike at the hosts of a service.
type Kind struct {
	Service  chervilladder.ServiceID
	Priority chervilladder.Priority
	Access   chervilladder.Access
}

// Locality holds the decisions which share of each kind of work leaves this VM's data
// centre; a kind without one stays.
type Locality map[Kind]locality.State
