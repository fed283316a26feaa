package operator

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The states of a VM.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// NeverConfirmed is the value of SecondsSinceConfirmed if the platform has not
// confirmed any revision yet.
const NeverConfirmed = -1

// Status is the status that a VM reports.
type Status struct {
	VM         chervilladder.VMID         `json:"vm"`
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Revision   chervilladder.Revision     `json:"revision"`
	// SecondsSinceConfirmed is the time since the platform last confirmed
	// that Revision is the newest, or NeverConfirmed.
	SecondsSinceConfirmed float64                    `json:"knowledge-age-seconds"`
	State                 string                     `json:"state"`
	Owned                 []chervilladder.DatabaseID `json:"owned"`
	Members               []MemberStatus             `json:"members"`
	Groups                []GroupStatus              `json:"groups"`
}

// MemberStatus is the state of a VM according to the VM that reports.
type MemberStatus struct {
	VM    chervilladder.VMID `json:"vm"`
	State string             `json:"state"`
}

// GroupStatus is the state of a database's group according to the VM that
// reports. Only the database's owner reports the primary and the term.
type GroupStatus struct {
	Database chervilladder.DatabaseID `json:"database"`
	Primary  chervilladder.UpstreamID `json:"primary"`
	Term     chervilladder.Term       `json:"term"`
	Owner    chervilladder.VMID       `json:"owner"`
}

// NewStatus returns the status of the VM that a board belongs to.
func NewStatus(b *blackboard.Board, now time.Time) Status {
	published := b.Published.Load()
	s := Status{
		VM:                    b.Self.ID,
		DataCentre:            b.Self.DataCentre,
		Revision:              published.Revision,
		SecondsSinceConfirmed: NeverConfirmed,
		State:                 StateReady,
		Owned:                 []chervilladder.DatabaseID{},
		Members:               []MemberStatus{},
		Groups:                []GroupStatus{},
	}
	if !published.Confirmed.IsZero() {
		s.SecondsSinceConfirmed = now.Sub(published.Confirmed).Seconds()
	}
	if b.Local.Load().Draining {
		s.State = StateDraining
	}
	members := b.Members.Load().Members
	for _, id := range slices.Sorted(maps.Keys(members)) {
		s.Members = append(s.Members, MemberStatus{VM: id, State: members[id].State.String()})
	}
	s.addGroups(b)
	return s
}

func (s *Status) addGroups(b *blackboard.Board) {
	owners := b.Owners.Load().ByDatabase
	for _, id := range slices.Sorted(maps.Keys(owners)) {
		g := GroupStatus{Database: id, Owner: owners[id]}
		if owners[id] == b.Self.ID {
			s.Owned = append(s.Owned, id)
		}
		if db, ok := b.Databases.Find(id); ok && owners[id] == b.Self.ID {
			group := db.Group.Load()
			g.Primary, g.Term = group.Primary, group.Term
		}
		s.Groups = append(s.Groups, g)
	}
}
