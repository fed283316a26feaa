package chervilladder

import "context"

// Directory lists the VMs of the system, so that they can find each other.
type Directory interface {
	// VMs returns the list. It lags and may contain VMs that no longer run.
	VMs(ctx context.Context) ([]VM, error)
	// Announce adds a VM's entry or replaces it.
	Announce(ctx context.Context, v VM) error
	// Remove deletes the entry of a VM that no longer runs, unless the VM
	// announces itself again in the meantime.
	Remove(ctx context.Context, id VMID) error
}
