package blackboard

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// MemberState is the state of a VM as this VM judges it.
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
	// LastChanged is when the state last changed.
	LastChanged time.Time
}

// Membership holds the system's VMs as this VM sees them.
type Membership struct {
	Members map[chervilladder.VMID]Member
}

// Candidates returns the VMs that may be given tasks of the system, such as the
// ownership of a database, in the order of their ids. Suspected VMs are included,
// so that a single lost gossip message moves nothing.
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
