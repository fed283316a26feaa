package chervilladder

import (
	"context"
	"time"
)

// Role is the role in which a member of a group considers itself.
type Role uint8

// The roles. An outdated primary that has been cut off may still report that it
// is the primary.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// MemberStatus is the status that one member of a group, an upstream, reports.
type MemberStatus struct {
	Upstream UpstreamID
	Role     Role
	// Term is the highest term that the member has accepted.
	Term Term
	// LogTerm is the term of the primary that the member's log last agreed
	// with. It is lower than Term if the member has accepted a term and not
	// yet replicated from its primary.
	LogTerm Term
	// Received is the position up to which the member has received the log.
	Received Position
	// Replayed is the position up to which reads on the member see the log.
	Replayed Position
	// SinceContact is how long ago a replica last had contact with its primary,
	// or a primary with any of its replicas.
	SinceContact time.Duration
	// Claim is the highest claim that the member has issued.
	Claim Claim
	// Holder is the VM that holds that claim.
	Holder VMID
}

// Ballot asks a member to accept a new term.
type Ballot struct {
	Term    Term
	Attempt AttemptID
}

// Member is the control interface of one upstream. Its calls take none of the
// upstream's slots and are idempotent.
type Member interface {
	// Status requests the member's status.
	Status(ctx context.Context) (MemberStatus, error)
	// TakeClaim takes ownership at the primary. The primary closes the
	// connections that are bound to lower claims and then returns its status.
	TakeClaim(ctx context.Context, vm VMID) (MemberStatus, error)
	// AcceptTerm makes the member refuse every lower term. It returns a
	// *TermRefusedError if the member has accepted an equal or higher
	// ballot of another attempt.
	AcceptTerm(ctx context.Context, b Ballot) (MemberStatus, error)
	// Promote makes the member the primary of a term that it accepted.
	Promote(ctx context.Context, b Ballot) (MemberStatus, error)
	// Follow makes the member replicate from the primary of a term.
	Follow(ctx context.Context, b Ballot, primary UpstreamID) error
	// Close closes the connection to the member.
	Close()
}
