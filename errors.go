package chervilladder

import (
	"fmt"
	"time"
)

// Reason says why work was not run or was rolled back.
type Reason string

// The reasons. The operators' page explains each.
const (
	ReasonDeadline   Reason = "deadline"
	ReasonOverload   Reason = "overload"
	ReasonNoPrimary  Reason = "no-primary"
	ReasonNoOwner    Reason = "no-owner"
	ReasonNoProof    Reason = "no-proof"
	ReasonDraining   Reason = "draining"
	ReasonNotOwner   Reason = "not-owner"
	ReasonUnknownDB  Reason = "unknown-database"
	ReasonRolledBack Reason = "rolled-back"
	ReasonCancelled  Reason = "cancelled"
	ReasonQuota      Reason = "quota"
)

// NotRunError reports work that had no effect and will have none: it did not run,
// it only read, or it was rolled back.
type NotRunError struct {
	Database DatabaseID
	Reason   Reason
	// RetryAfter is how long to wait before a retry.
	RetryAfter time.Duration
	Err        error
}

// Error says what was not run and why.
func (e *NotRunError) Error() string {
	s := fmt.Sprintf("database %s: not run: %s", e.Database, e.Reason)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Refusal says to the caller of a line protocol why nothing was run, and when to try
// again.
func (e *NotRunError) Refusal() string {
	return fmt.Sprintf("%s; retry after %d ms", e.Reason, e.RetryAfter.Milliseconds())
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError reports work that may or may not have been done. The caller
// must check the outcome before it retries. The error doesn't unwrap: its cause
// may be the refusal of a later attempt, which must not be mistaken for the
// outcome.
type UnknownError struct {
	Database DatabaseID
	Upstream UpstreamID
	Err      error
}

// Error says where the outcome was lost.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("database %s: outcome unknown at upstream %s: %v", e.Database, e.Upstream, e.Err)
}

// DoneError reports work that was done but whose answer was lost. The work must
// not be sent again. The error doesn't unwrap, for the same reason as
// UnknownError.
type DoneError struct {
	Database DatabaseID
	Upstream UpstreamID
	Err      error
}

// Error says where the answer was lost.
func (e *DoneError) Error() string {
	return fmt.Sprintf("database %s: done at upstream %s, its answer is lost: %v", e.Database, e.Upstream, e.Err)
}

// UpstreamLostError reports an upstream connection that failed or timed out.
type UpstreamLostError struct {
	Upstream UpstreamID
	// Sent is set if bytes of the work may have reached the upstream.
	Sent bool
	Err  error
}

// Error says which upstream was lost.
func (e *UpstreamLostError) Error() string {
	return fmt.Sprintf("upstream %s: connection lost: %v", e.Upstream, e.Err)
}

// Unwrap returns the cause.
func (e *UpstreamLostError) Unwrap() error { return e.Err }

// DeniedError reports a caller whose key no client account of the configuration holds.
// Nothing was sent anywhere.
type DeniedError struct {
	Database DatabaseID
}

// Error names the database. It leaves out the key.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("database %s: denied: no client account holds the caller's key", e.Database)
}

// UnknownBorrowerError reports a VM that asked for a part of a quota and isn't in the
// lender's list of VMs.
type UnknownBorrowerError struct {
	VM VMID
}

// Error names the VM.
func (e *UnknownBorrowerError) Error() string {
	return fmt.Sprintf("VM %q is not in the list of VMs", string(e.VM))
}

// InvalidFieldError reports a text that can't be sent to an upstream as one field of a
// message. Nothing was sent.
type InvalidFieldError struct {
	Field string
	Value string
}

// Error names the field. It leaves out the value, which may be long.
func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("the %s holds a line end or a separator of fields", e.Field)
}

// TermRefusedError reports a ballot that a member refused because it has
// accepted another one.
type TermRefusedError struct {
	Upstream UpstreamID
	// Term is the term that the member has accepted.
	Term Term
}

// Error says which term the member has accepted.
func (e *TermRefusedError) Error() string {
	return fmt.Sprintf("upstream %s: ballot refused: member is in term %d", e.Upstream, e.Term)
}

// PrimaryUnreachableError reports a service whose primary a VM doesn't reach, or whose
// work it takes from no peer, since it leaves, doesn't know the service or doesn't host it.
type PrimaryUnreachableError struct{ Service ServiceID }

// Error names the service.
func (e *PrimaryUnreachableError) Error() string {
	return fmt.Sprintf("the VM does not reach the primary of %s and its replicas", e.Service)
}

// ClaimLostError reports a claim that another VM has taken over.
type ClaimLostError struct {
	Upstream UpstreamID
	Claim    Claim
	Holder   VMID
}

// Error names the VM that holds the claim now.
func (e *ClaimLostError) Error() string {
	return fmt.Sprintf("upstream %s: claim %d is held by %s", e.Upstream, e.Claim, e.Holder)
}

// NotFoundError reports an object that the platform does not hold.
type NotFoundError struct {
	Kind ObjectKind
	Name ObjectName
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: no object %s/%s", e.Kind, e.Name)
}

// ConflictError reports a conditional update that failed because the object had
// been changed.
type ConflictError struct {
	// Current is the object as it stands now.
	Current Object
}

// Error names the object and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// PlatformError reports a call to the platform that failed.
type PlatformError struct {
	Operation string
	// Unknown is set if the change may have been made despite the error.
	Unknown bool
	Err     error
}

// Error says which call failed.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("platform: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Err }
