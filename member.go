package chervilladder

import (
	"context"
	"time"
)

// Role is what a member of a group takes itself for.
type Role uint8

// The roles. A primary that has been cut off may still take itself for one.
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

// MemberStatus is what one member of a group says of itself.
type MemberStatus struct {
	Upstream UpstreamID
	Role     Role
	// Term is the highest term that the member has accepted.
	Term Term
	// LogTerm is the term of the primary that the member's log was last
	// known to agree with. It lags Term while the member only accepted.
	LogTerm Term
	// Received is the position up to which the log has reached the member.
	Received Position
	// Replayed is the position up to which reads on the member see the log.
	Replayed Position
	// Contact is how long ago a replica heard from its primary, or a
	// primary from the closest of its replicas.
	Contact time.Duration
	// Claim is the highest claim that the member has handed out.
	Claim Claim
	// Holder is the VM that took that claim.
	Holder VMID
}

// Ballot asks a member to accept a new term.
type Ballot struct {
	Term    Term
	Attempt AttemptID
}

// Member is the control side of one upstream. All its calls are answered
// outside the upstream's slots and are safe to repeat.
type Member interface {
	// Status asks for the member's status.
	Status(ctx context.Context) (MemberStatus, error)
	// TakeClaim takes ownership at the primary: connections bound to lower
	// claims are ended, and the status after that is returned.
	TakeClaim(ctx context.Context, vm VMID) (MemberStatus, error)
	// AcceptTerm makes the member refuse every lower term. It returns a
	// *TermRefusedError when the member has accepted an equal or higher
	// ballot of another attempt.
	AcceptTerm(ctx context.Context, b Ballot) (MemberStatus, error)
	// Promote makes the member the primary of a term that it accepted.
	Promote(ctx context.Context, b Ballot) (MemberStatus, error)
	// Follow makes the member replicate from the primary of a term.
	Follow(ctx context.Context, b Ballot, primary UpstreamID) error
	// Close ends the member's connection.
	Close()
}
