package chervilladder

import "context"

// Directory lists the VMs of the system, so that they find each other.
type Directory interface {
	// VMs returns the list, which lags, and which names VMs that are gone.
	VMs(ctx context.Context) ([]VM, error)
	// Announce enters a VM, or replaces its entry.
	Announce(ctx context.Context, v VM) error
	// Remove takes the entry of a VM that is gone out of the list, unless the
	// VM enters itself again meanwhile.
	Remove(ctx context.Context, id VMID) error
}
