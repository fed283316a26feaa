package blackboard

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// MemberState is what is believed of a VM.
type MemberState uint8

// The states of a VM, from best to worst.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDraining
	MemberDead
)

// String returns the name that status pages use.
func (m MemberState) String() string {
	switch m {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDraining:
		return "draining"
	default:
		return "dead"
	}
}

// Member is one VM of the system as this VM sees it.
type Member struct {
	VM          chervilladder.VM
	State       MemberState
	Incarnation chervilladder.Incarnation
	// Heard is when the state last changed.
	Heard time.Time
}

// Membership is what is known of the system's VMs.
type Membership struct {
	Members map[chervilladder.VMID]Member
}

// Candidates returns the VMs that may be given work of the system's own, in
// the order of their ids: those that are alive or merely suspected, so that a
// lost message moves nothing.
func (m Membership) Candidates() []chervilladder.VMID {
	var list []chervilladder.VMID
	for id, v := range m.Members {
		if v.State == MemberAlive || v.State == MemberSuspect {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
