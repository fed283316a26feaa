package chervilladder

import "context"

// Demoter demotes outdated primaries.
type Demoter interface {
	// Demote demotes the primary of a term before the given one to a replica.
	// It fails unless the upstream confirms that it is a replica.
	Demote(ctx context.Context, u UpstreamID, term Term) error
}

// PeerDemoter calls the Demoter of peers.
type PeerDemoter interface {
	// Demote calls Demoter.Demote at the VM of an address.
	Demote(ctx context.Context, peer Address, u UpstreamID, term Term) error
}
