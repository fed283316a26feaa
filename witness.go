package chervilladder

import "context"

// Led is a primary and its term.
type Led struct {
	Primary UpstreamID
	Term    Term
}

// Witness reports which primaries this VM reaches.
type Witness interface {
	// Reaches polls the primary of a service and returns it if this VM can run
	// work there. It returns an error otherwise.
	Reaches(ctx context.Context, s ServiceID) (Led, error)
}

// Witnesses calls the Witness of peers.
type Witnesses interface {
	// Reaches calls Witness.Reaches at the VM of an address.
	Reaches(ctx context.Context, peer Address, s ServiceID) (Led, error)
}
