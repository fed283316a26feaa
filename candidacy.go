package chervilladder

import (
	"context"
	"time"
)

// Candidacy announces that an order of the platform may make a replica the primary of a
// service, at some time until it lapses.
type Candidacy struct {
	Service   ServiceID
	Candidate UpstreamID
	// By is the VM that orders the promotion.
	By VMID
	// Replaces is the term of the primary that the candidate replaces.
	Replaces Term
	// ValidFor is how long an order for the candidate may still take effect, from the
	// announcement on; zero withdraws the candidacy, since no order was given.
	ValidFor time.Duration
	// TookEffect is set once all orders for the candidate were answered and one was seen to
	// take effect. The platform may carry it out once more.
	TookEffect bool
}

// CandidacyAcceptor is told of candidacies.
type CandidacyAcceptor interface {
	// AcceptCandidacy has this VM report a commit of the service as done only if the
	// candidate is known to hold it, for as long as the candidacy lasts. It returns the
	// latest commit that this VM has reported until then, which a successor must hold.
	AcceptCandidacy(ctx context.Context, c Candidacy) (Mark, error)
}

// PeerCandidacyAcceptor calls the CandidacyAcceptor of peers.
type PeerCandidacyAcceptor interface {
	// AcceptCandidacy calls CandidacyAcceptor.AcceptCandidacy at the VM of an address.
	AcceptCandidacy(ctx context.Context, peer Address, c Candidacy) (Mark, error)
}
