package chervilladder

import "time"

// Bounds holds the limits that a deployment sets for a VM. They may change
// while the VM runs.
type Bounds struct {
	// Grace is how long the process has to end after the signal to stop.
	Grace time.Duration
	// UpstreamDrain is the time within which a draining upstream must stop
	// getting work; zero means no limit. A draining primary gets work until
	// shortly before the limit or until it is replaced; a draining replica
	// gets none in either case.
	UpstreamDrain time.Duration
	// ConfigInForce is the time within which a configuration must be in force
	// after the operator's write of it was accepted; zero means no limit.
	ConfigInForce time.Duration
	// AccountsRequired is set if the deployment serves only callers of client accounts,
	// also while the configuration names none.
	AccountsRequired bool
	// QuotaWindow is the span of time over which quotas must hold; zero if the
	// deployment sets none.
	QuotaWindow time.Duration
	// MemoryBytes is the memory that the process may use; zero means no
	// limit.
	MemoryBytes int64
	// Sockets is how many sockets the process may have open; zero means no limit.
	Sockets int
}

// BoundsSource provides the bounds.
type BoundsSource interface {
	// Bounds reads the current bounds.
	Bounds() (Bounds, error)
}
