package chervilladder

import "context"

// Deposer demotes outdated primaries.
type Deposer interface {
	// Depose demotes the primary of a term before the given one to a replica.
	// It fails unless the upstream confirms that it is a replica.
	Depose(ctx context.Context, u UpstreamID, term Term) error
}

// Deposers calls the Deposer of peers.
type Deposers interface {
	// Depose calls Deposer.Depose at the VM of an address.
	Depose(ctx context.Context, peer Address, u UpstreamID, term Term) error
}
