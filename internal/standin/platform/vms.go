package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// maxListings is the number of past lists of VMs to keep.
const maxListings = 4096

// VMState is the state of a VM in the list.
type VMState string

// The states of a VM.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is one entry of the list of VMs.
type VM struct {
	ID         chervilladder.VMID         `json:"vm"`
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Peer       chervilladder.Address      `json:"peer"`
	State      VMState                    `json:"state"`
}

// listing is the list of VMs as it was from the time since until the next
// listing.
type listing struct {
	since time.Time
	vms   []VM
}

// VMList is the list of VMs with its history, so that it can be returned with a lag.
type VMList struct {
	listings *board.Section[[]listing]
}

// NewVMList returns a list that holds the given VMs.
func NewVMList(vms []VM) *VMList {
	if vms == nil {
		vms = []VM{}
	}
	return &VMList{listings: board.NewSection([]listing{{vms: vms}})}
}

// ReadVMs reads a list of VMs from a file of the form {"vms":[…]}.
func ReadVMs(path string) ([]VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	var list struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("list of VMs %s: %w", path, err)
	}
	for i := range list.VMs {
		if list.VMs[i].State == "" {
			list.VMs[i].State = StateLive
		}
	}
	return list.VMs, nil
}

// Lagged returns the list as of the given duration ago.
func (v *VMList) Lagged(lag time.Duration) []VM {
	listings := v.listings.Load()
	limit := time.Now().Add(-lag)
	vms := listings[0].vms
	for _, l := range listings {
		if l.since.After(limit) {
			break
		}
		vms = l.vms
	}
	return vms
}

// Register adds a VM as live, or replaces the entry of the same id.
func (v *VMList) Register(vm VM) {
	vm.State = StateLive
	v.update(func(vms []VM) []VM {
		vms = without(vms, vm.ID)
		return append(vms, vm)
	})
}

// MarkLeaving marks a VM as leaving. It returns false if there is no such VM.
func (v *VMList) MarkLeaving(id chervilladder.VMID) bool {
	found := false
	v.update(func(vms []VM) []VM {
		for i := range vms {
			if vms[i].ID == id {
				vms[i].State = StateLeaving
				found = true
			}
		}
		return vms
	})
	return found
}

// Remove removes a VM from the list.
func (v *VMList) Remove(id chervilladder.VMID) {
	v.update(func(vms []VM) []VM { return without(vms, id) })
}

func (v *VMList) update(change func([]VM) []VM) {
	v.listings.Update(func(listings *[]listing) {
		last := (*listings)[len(*listings)-1]
		vms := change(slices.Clone(last.vms))
		slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
		next := append(slices.Clone(*listings), listing{since: time.Now(), vms: vms})
		if len(next) > maxListings {
			next = next[len(next)-maxListings:]
		}
		*listings = next
	})
}

func without(vms []VM, id chervilladder.VMID) []VM {
	return slices.DeleteFunc(vms, func(vm VM) bool { return vm.ID == id })
}
