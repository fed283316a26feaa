package chervilladder

import "context"

// PrimaryTerm is a primary and its term.
type PrimaryTerm struct {
	Primary UpstreamID
	Term    Term
}

// Reachability reports which primaries this VM reaches.
type Reachability interface {
	// ReachablePrimary polls the primary of a service and returns it if this VM
	// can run work there. It returns an error otherwise.
	ReachablePrimary(ctx context.Context, s ServiceID) (PrimaryTerm, error)
}

// PeerReachability calls the Reachability of peers.
type PeerReachability interface {
	// ReachablePrimary calls Reachability.ReachablePrimary at the VM of an
	// address. A VM that answers that it doesn't reach the primary returns a
	// *PrimaryUnreachableError; any other error means that it didn't answer.
	ReachablePrimary(ctx context.Context, peer Address, s ServiceID) (PrimaryTerm, error)
}

// Connector keeps connections to other VMs.
type Connector interface {
	// KeepConnected keeps the connection to a VM open until the context ends, and calls
	// report when it has been opened and when an attempt to open it has failed.
	KeepConnected(ctx context.Context, peer Address, report func(connected bool))
}
