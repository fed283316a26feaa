package blackboard

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
)

// Board is the blackboard of one VM.
type Board struct {
	// Self is the VM that the board belongs to. It never changes.
	Self chervilladder.VM

	// Published is the configuration in force, encoded as peers relay it.
	// Written by control/configuration, and on the users' prepared platform
	// (package platform) by control/relay instead.
	Published Section[Published]
	// Catalogue is the configuration in force, resolved for look-up; nil
	// until there is one. Written by control/configuration.
	Catalogue Section[*chervilladder.Catalogue]
	// Members is the membership of the system as this VM sees it. Written by
	// control/membership.
	Members Section[Membership]
	// Hint is the peer with the newest configuration that gossip has
	// reported. Written by control/membership.
	Hint Section[Hint]
	// Owners says which VM owns each database. Written by
	// control/ownership.
	Owners Section[Owners]
	// Local is the VM's own state. Written by control/drain, on the users'
	// prepared platform by control/shutdown.
	Local Section[Local]
	// InFlight counts the sessions of callers and peers in which a command runs
	// or a transaction is open at this VM, on the users' prepared platform.
	// Written by the path of a request.
	InFlight atomic.Int64
	// Routing is the operator's configuration on the users' prepared platform;
	// nil until it is known, and always nil on the platform whose object API
	// holds service files (Catalogue). Written by control/routing.
	Routing Section[*chervilladder.Routing]
	// Bounds holds the limits that the deployment sets for this VM. Written
	// by control/bounds, and once at start-up before anything runs.
	Bounds Section[chervilladder.Bounds]
	// Upstreams holds the upstreams that have registered at the platform.
	// Written by control/registry.
	Upstreams Section[Upstreams]
	// UpstreamsTrigger carries requests to read the upstreams from the store at once, as
	// what this VM's watch has reported may be seconds old. control/failover asks, and
	// control/registry reads and sets Upstreams.ReadAt.
	UpstreamsTrigger PollTrigger
	// RoutingAnswered and UpstreamsAnswered are when the platform's store last
	// answered a request for each, by the VM's own clock. Raised by
	// control/routing and control/registry.
	RoutingAnswered, UpstreamsAnswered LatestTime
	// PeerConfirmedAt is the latest time for which a peer's update said what
	// the store contained. Raised by control/relay.
	PeerConfirmedAt LatestTime
	// StoreAccess says whether this VM reads the store itself. Written by
	// control/relay.
	StoreAccess Section[StoreAccess]
	// Peers holds the other VMs of the platform's list. Written by
	// control/relay.
	Peers Section[[]chervilladder.VM]
	// ListedAt is when this VM last read a list of VMs that contains it. Raised by
	// control/relay.
	ListedAt LatestTime
	// ListTrigger carries requests to read the list of VMs soon. control/quota asks when
	// it is called by a VM that isn't in the list, and control/relay reads the list.
	ListTrigger PollTrigger
	// ListedBefore is set if the list contained this VM before it announced itself:
	// it has been restarted. Written by control/relay.
	ListedBefore atomic.Bool
	// QuotaLenders says which VMs lend parts of the client accounts' quotas. Written
	// by control/quota.
	QuotaLenders Section[QuotaLenders]
	// Quotas holds what this VM has borrowed and lent of each client account's quota.
	// Its sections name their own writers.
	Quotas Table[chervilladder.AccountID, Quota]
	// Hosting says which VMs hold connections to which service's upstreams.
	// Written by control/hosting.
	Hosting Section[Hosting]
	// ForwardedAt is when a peer last forwarded work to this VM for a service
	// that the VM didn't host, by the VM's own clock. Written by the path of a
	// peer's request.
	ForwardedAt Section[map[chervilladder.ServiceID]time.Time]
	// ForwardTargets and HostStates hold what this VM knows of the VMs that it
	// forwards work to. Their types name the writers.
	ForwardTargets Table[chervilladder.VMID, ForwardTarget]
	HostStates     Table[ServiceHost, HostState]
	// Locality says which share of the work that this VM forwards leaves its data
	// centre. Written by control/locality.
	Locality Section[Locality]
	// PeerKnowledge is the last update of the store's content from a peer.
	// Written by control/relay; control/routing and control/registry apply what
	// is newer than their own state.
	PeerKnowledge Section[Knowledge]
	// Clusters holds the state of each replicated service that VMs serve
	// without an owner. Their sections name their own writers.
	Clusters Table[chervilladder.ServiceID, Cluster]
	// Databases holds the state of the databases that this VM owns or has
	// owned. Their sections name their own writers.
	Databases Table[chervilladder.DatabaseID, Database]
}

// New returns the blackboard of a VM.
func New(self chervilladder.VM) *Board {
	return &Board{Self: self}
}

// ShutsDown reports whether the VM shuts down, on the users' prepared platform.
func (b *Board) ShutsDown() bool { return b.Local.Load().Shutdown.Begun() }

// Published is a configuration as it was published.
type Published struct {
	// Revision is that of service files. StoreRevision and Version are those of a
	// configuration on the users' prepared platform.
	Revision      chervilladder.Revision
	StoreRevision chervilladder.StoreRevision
	Version       chervilladder.ConfigVersion
	// Encoded is the bundle that peers relay unchanged.
	Encoded []byte
	// Deltas holds the bundle as differences from earlier revisions, one for
	// each Base.
	Deltas []Delta
	// Confirmed is when the platform last confirmed, to this VM or to a
	// peer, that there is nothing newer; zero if it never has.
	Confirmed time.Time
}

// Delta is a bundle as the difference from an earlier revision.
type Delta struct {
	Base    chervilladder.Revision
	Encoded []byte
}

// For returns what to relay to a peer that has a revision.
func (p Published) For(have chervilladder.Revision) chervilladder.Relayed {
	if p.Revision <= have {
		return chervilladder.Relayed{}
	}
	for _, d := range p.Deltas {
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
	// Shutdown is the plan of the VM's shutdown; zero while there is none.
	Shutdown shutdown.Plan
}

// Hint is the newest known revision of the configuration and a peer at which it
// is in force.
type Hint struct {
	Revision chervilladder.Revision
	Peer     chervilladder.Address
	// Confirmed is the latest time at which the platform has confirmed to a
	// VM that there is nothing newer, as far as gossip has reported.
	Confirmed time.Time
}

// Owners maps each database to the VM that is to own it.
type Owners struct {
	ByDatabase map[chervilladder.DatabaseID]chervilladder.VMID
}
