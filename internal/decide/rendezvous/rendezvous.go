// Package rendezvous decides which VM owns a database, so that all VMs with
// the same view of the membership agree without talking.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// Owner returns the VM with the highest weight for a database, or the empty
// id if there is no VM. A VM that comes or goes moves only the databases that
// it gains or loses.
func Owner(db chervilladder.DatabaseID, vms []chervilladder.VMID) chervilladder.VMID {
	var best chervilladder.VMID
	var bestWeight uint64
	for _, vm := range vms {
		w := weight(db, vm)
		if best == "" || w > bestWeight || (w == bestWeight && vm < best) {
			best, bestWeight = vm, w
		}
	}
	return best
}

func weight(db chervilladder.DatabaseID, vm chervilladder.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(db))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
