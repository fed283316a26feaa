package blackboard

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Board is the blackboard of one VM.
type Board struct {
	// Self is the VM that the board belongs to. It never changes.
	Self chervilladder.VM

	// Published is the configuration in force in the form in which peers
	// relay it. Written by control/configuration, and on the prepared
	// platform by control/relay.
	Published Section[Published]
	// Catalogue is the configuration in force, resolved for look-up; nil
	// until the first one is known. Written by control/configuration.
	Catalogue Section[*chervilladder.Catalogue]
	// Members is what is known of the system's VMs. Written by
	// control/membership.
	Members Section[Membership]
	// Hint says where the newest configuration that was heard of is in
	// force. Written by control/membership.
	Hint Section[Hint]
	// Owners says which VM owns each database. Written by
	// control/ownership.
	Owners Section[Owners]
	// Local is the VM's own state. Written by control/drain.
	Local Section[Local]
	// Routing is the operator's configuration on a platform that keeps one;
	// nil until it is known. Written by control/routing.
	Routing Section[*chervilladder.Routing]
	// Bounds is what the deployment demands of this VM. Written by
	// control/bounds, and once before anything runs.
	Bounds Section[chervilladder.Bounds]
	// Upstreams is the upstreams that have registered at the platform.
	// Written by control/registry.
	Upstreams Section[Upstreams]
	// RoutingAnswered and UpstreamsAnswered are when the platform's store last
	// answered about each, by the VM's own clock. Raised by control/routing
	// and control/registry.
	RoutingAnswered, UpstreamsAnswered Moment
	// Told is the latest moment as of which a peer has told what is in the
	// store. Raised by control/relay.
	Told Moment
	// Reading says whether this VM reads the store itself. Written by
	// control/relay.
	Reading Section[Reading]
	// Peers is the other VMs of the platform's list. Written by
	// control/relay.
	Peers Section[[]chervilladder.VM]
	// Hosting says which VMs hold connections to which service's upstreams.
	// Written by control/hosting.
	Hosting Section[Hosting]
	// Asked is when peers last asked this VM for the work of a service that
	// it did not host, by the VM's own clock. Written by the path of a peer's
	// request.
	Asked Section[map[chervilladder.ServiceID]time.Time]
	// Heard is what a peer has last told of the store. Written by
	// control/relay; control/routing and control/registry take over what is
	// newer than they know.
	Heard Section[Knowledge]
	// Clusters holds what is known of each replicated service that VMs
	// serve without an owner. Its sections name their own writers.
	Clusters Table[chervilladder.ServiceID, Cluster]
	// Databases holds the state of the databases that this VM owns or has
	// owned. Their sections name their own writers.
	Databases Table[chervilladder.DatabaseID, Database]
}

// New returns the blackboard of a VM.
func New(self chervilladder.VM) *Board {
	return &Board{Self: self}
}

// Published is a configuration as it was published.
type Published struct {
	Revision chervilladder.Revision
	// Encoded is the bundle that peers pass on unchanged.
	Encoded []byte
	// Since holds the bundle as the difference from earlier revisions.
	Since []Delta
	// Confirmed is when the platform last confirmed, to this VM or to a
	// peer, that there is nothing newer; zero while it never has.
	Confirmed time.Time
}

// Delta is a bundle as the difference from an earlier revision.
type Delta struct {
	Base    chervilladder.Revision
	Encoded []byte
}

// For returns what to pass on to a peer that has a revision.
func (p Published) For(have chervilladder.Revision) chervilladder.Relayed {
	if p.Revision <= have {
		return chervilladder.Relayed{}
	}
	for _, d := range p.Since {
		if d.Base == have {
			return chervilladder.Relayed{Encoded: d.Encoded, Delta: true}
		}
	}
	return chervilladder.Relayed{Encoded: p.Encoded}
}

// Local is the state of this VM.
type Local struct {
	// Draining is set once the VM takes no new callers and owns nothing.
	Draining bool
}

// Hint says at which peer a revision of the configuration is in force.
type Hint struct {
	Revision chervilladder.Revision
	Peer     chervilladder.Address
	// Confirmed is when the platform last confirmed to any VM that was
	// heard of that there is nothing newer.
	Confirmed time.Time
}

// Owners maps each database to the VM that is to own it.
type Owners struct {
	ByDatabase map[chervilladder.DatabaseID]chervilladder.VMID
}
