// Package rendezvous decides by rendezvous hashing which VM owns a database and
// which VMs run a system task, so that all VMs with the same view of the
// membership agree without communicating.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// Owner returns the VM with the highest weight for a database, or the empty
// id if there is no VM. When a VM joins or leaves, only the databases that it
// gains or loses move.
func Owner(db chervilladder.DatabaseID, vms []chervilladder.VMID) chervilladder.VMID {
	var best chervilladder.VMID
	var bestWeight uint64
	for _, vm := range vms {
		w := weight(string(db), vm)
		if best == "" || w > bestWeight || (w == bestWeight && vm < best) {
			best, bestWeight = vm, w
		}
	}
	return best
}

// Task names a task of the system itself that a few VMs run.
type Task string

// Chosen reports whether a VM is among the n with the highest weights for a
// task. A VM that is not among the candidates is not chosen.
func Chosen(t Task, vm chervilladder.VMID, vms []chervilladder.VMID, n int) bool {
	own := weight(string(t), vm)
	higher, present := 0, false
	for _, other := range vms {
		if other == vm {
			present = true
			continue
		}
		if w := weight(string(t), other); w > own || (w == own && other < vm) {
			higher++
		}
	}
	return present && higher < n
}

func weight(key string, vm chervilladder.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Ranked returns the VMs in the order of their weights for a task, the highest
// first.
func Ranked(t Task, vms []chervilladder.VMID) []chervilladder.VMID {
	weights := make(map[chervilladder.VMID]uint64, len(vms))
	for _, vm := range vms {
		weights[vm] = weight(string(t), vm)
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b chervilladder.VMID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}

// Spread returns n VMs for a task, spread over the data centres: it takes the VM
// of the highest weight from each data centre in turn.
func Spread(t Task, vms []chervilladder.VM, n int) []chervilladder.VM {
	byID := make(map[chervilladder.VMID]chervilladder.VM, len(vms))
	ids := make([]chervilladder.VMID, 0, len(vms))
	for _, vm := range vms {
		byID[vm.ID] = vm
		ids = append(ids, vm.ID)
	}
	n = min(n, len(ids))
	list := make([]chervilladder.VM, 0, n)
	for ranked := Ranked(t, ids); len(list) < n; {
		taken := make(map[chervilladder.DataCentreID]bool)
		left := ranked[:0]
		for _, id := range ranked {
			if dc := byID[id].DataCentre; !taken[dc] && len(list) < n {
				taken[dc] = true
				list = append(list, byID[id])
			} else {
				left = append(left, id)
			}
		}
		ranked = left
	}
	return list
}
