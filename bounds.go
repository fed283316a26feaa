package chervilladder

import "time"

// Bounds is what a deployment demands of a VM. It may change while the VM runs.
type Bounds struct {
	// Grace is how long a VM has from the signal to stop to its end.
	Grace time.Duration
	// UpstreamDrain is how soon an upstream that leaves must get no more
	// work; zero means that a primary may go on until it is replaced.
	UpstreamDrain time.Duration
	// ConfigInForce is how soon a configuration must be in force once the
	// operator's write of it was accepted; zero means no stated limit.
	ConfigInForce time.Duration
	// MemoryBytes is the memory that the process may use; zero means no
	// stated limit.
	MemoryBytes int64
}

// BoundsSource holds the bounds.
type BoundsSource interface {
	// Bounds reads the bounds as they are now.
	Bounds() (Bounds, error)
}
