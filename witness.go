package chervilladder

import "context"

// Led is a primary, and the term in which it leads.
type Led struct {
	Primary UpstreamID
	Term    Term
}

// Witness tells which primaries a VM reaches.
type Witness interface {
	// Reaches asks the primary of a service anew, and returns it if this VM can
	// have work run there that needs it. It fails otherwise.
	Reaches(ctx context.Context, s ServiceID) (Led, error)
}

// Witnesses are the witnesses at peers.
type Witnesses interface {
	// Reaches has the VM at an address do what Witness.Reaches does there.
	Reaches(ctx context.Context, peer Address, s ServiceID) (Led, error)
}
