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
	// address.
	ReachablePrimary(ctx context.Context, peer Address, s ServiceID) (PrimaryTerm, error)
}
