package chervilladder

import "context"

// Deposer tells primaries that they lead no more.
type Deposer interface {
	// Depose makes a primary of an earlier term a replica. It fails unless the
	// upstream has answered that it is one.
	Depose(ctx context.Context, u UpstreamID, term Term) error
}

// Deposers are the deposers at peers.
type Deposers interface {
	// Depose has the VM at an address do what Deposer.Depose does there.
	Depose(ctx context.Context, peer Address, u UpstreamID, term Term) error
}
