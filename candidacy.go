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
	// Process tells the processes of that VM apart: the Unix nanosecond of its start. Sequence
	// orders its announcements, which may overtake each other.
	Process, Sequence uint64
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
	// candidate is known to hold it, for as long as the candidacy lasts.
	AcceptCandidacy(ctx context.Context, c Candidacy) (CandidacyReply, error)
}

// CandidacyReply is a VM's answer to a candidacy.
type CandidacyReply struct {
	// Reported is the latest commit of the service that the VM has reported until then. A
	// successor must hold it.
	Reported Mark
	// Pending are the other candidacies of the service that the VM knows. They bind the VM
	// that asks, too: it may have started since.
	Pending []Candidacy
}

// PeerCandidacyAcceptor calls the CandidacyAcceptor of peers.
type PeerCandidacyAcceptor interface {
	// AcceptCandidacy calls CandidacyAcceptor.AcceptCandidacy at the VM of an address.
	AcceptCandidacy(ctx context.Context, peer Address, c Candidacy) (CandidacyReply, error)
}
