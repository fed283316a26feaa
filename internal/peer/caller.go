package peer

import (
	"context"

	"google.golang.org/grpc/metadata"

	"github.com/chervilladder/chervilladder"
)

// vmKey is the key of the calling VM's id in the metadata of a call. A VM of an earlier
// build sends none.
const vmKey = "chervilladder-vm"

// withCallingVM adds a VM's id to the metadata of a call.
func withCallingVM(ctx context.Context, vm chervilladder.VMID) context.Context {
	return metadata.AppendToOutgoingContext(ctx, vmKey, string(vm))
}

// callingVM returns the id of the VM that made a call, or "" if it sent none.
func callingVM(ctx context.Context) chervilladder.VMID {
	for _, id := range metadata.ValueFromIncomingContext(ctx, vmKey) {
		return chervilladder.VMID(id)
	}
	return ""
}
