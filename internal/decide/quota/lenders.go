package quota

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

const (
	// lendersPerGroup is the number of VMs among which a quota is divided.
	lendersPerGroup = 3
	// candidates is the number of lenders and substitutes together. A VM with an older
	// list may take a substitute for a lender.
	candidates = 2 * lendersPerGroup
	// Groups is the number of groups of accounts. The accounts of a group have the
	// same lenders, so that a VM calls no more than Groups of them at a time.
	Groups = 8
	// noticeTime is how long a VM may take to notice that it no longer learns of changes
	// of the list of VMs.
	noticeTime = 10 * time.Second
)

// Group is a number from 0 to Groups-1.
type Group int

// GroupOf returns the group of an account.
func GroupOf(a chervilladder.AccountID) Group { return Group(xxhash.Sum64String(string(a)) % Groups) }

// Lenders returns the VMs that lend the quotas of a group's accounts, and the substitutes,
// which may still be lenders by an older list of VMs.
func Lenders(g Group, vms []chervilladder.VM) (lenders, substitutes []chervilladder.VM) {
	ranked := rendezvous.Spread(rendezvous.Task("quota/"+strconv.Itoa(int(g))), vms, candidates)
	n := min(len(ranked), lendersPerGroup)
	return ranked[:n], ranked[n:]
}

// Predecessors returns the VMs that may lend in place of a VM by a list that doesn't
// contain it yet: those that lend if nothing else has changed, and those that may if more
// VMs have joined.
func Predecessors(g Group, vm chervilladder.VM, vms []chervilladder.VM) (displaced, others []chervilladder.VM) {
	without := slices.DeleteFunc(slices.Clone(vms), func(v chervilladder.VM) bool { return v.ID == vm.ID })
	lenders, _ := Lenders(g, vms)
	before, substitutes := Lenders(g, without)
	for _, v := range before {
		if !slices.ContainsFunc(lenders, func(l chervilladder.VM) bool { return l.ID == v.ID }) {
			displaced = append(displaced, v)
		}
	}
	return displaced, substitutes
}

// Order returns the lenders in the order in which a VM asks them: those of its own data
// centre first.
func Order(dc chervilladder.DataCentreID, lenders []chervilladder.VM) []chervilladder.VM {
	elsewhere := func(vm chervilladder.VM) int {
		if vm.DataCentre == dc {
			return 0
		}
		return 1
	}
	ordered := slices.Clone(lenders)
	slices.SortStableFunc(ordered, func(a, b chervilladder.VM) int { return elsewhere(a) - elsewhere(b) })
	return ordered
}

// Tenure is whether a VM may lend the quotas of one group. VMs may differ on the list of
// VMs, so one that becomes a lender by a change waits until no other may still lend in
// its place. The zero Tenure is that of a VM that isn't a lender.
type Tenure struct {
	// ListedSince is since when the VM has been a lender by its own list, and Joined
	// is set if it was one by the first list.
	ListedSince time.Time
	Joined      bool
	// LendingSince is since when it has lent; zero while it may not.
	LendingSince time.Time
	// Lenders is among how many lenders the quotas are divided. It falls only at
	// FewerAt, when a lender that is gone from the list no longer lends.
	Lenders, fewer int
	fewerAt        time.Time
}

// Evidence is what a VM knows about its list of VMs.
type Evidence struct {
	Now time.Time
	// MaxListAge is how old the list of a VM in touch with the store may be.
	MaxListAge time.Duration
	// Known is set once those that may lend in this VM's place have it in their lists.
	Known bool
	// Current is set unless the list may have changed without this VM's knowledge.
	Current bool
}

// Listing is a group's lenders by a list of VMs.
type Listing struct {
	// IsLender is set if this VM is one of them, Lenders is their number, and First is
	// set for the first list that this VM has read.
	IsLender bool
	Lenders  int
	First    bool
	Now      time.Time
	// MaxListAge is how old the list of a VM in touch with the store may be.
	MaxListAge time.Duration
}

// List applies a list that this VM has read.
func (t *Tenure) List(l Listing) {
	switch {
	case l.Lenders >= t.Lenders:
		t.Lenders, t.fewerAt = l.Lenders, time.Time{}
	case t.fewerAt.IsZero() || l.Lenders != t.fewer:
		t.fewer, t.fewerAt = l.Lenders, l.Now.Add(l.MaxListAge+noticeTime)
	}
	if !l.IsLender {
		t.ListedSince, t.LendingSince, t.Joined = time.Time{}, time.Time{}, false
		return
	}
	if t.ListedSince.IsZero() {
		t.ListedSince, t.Joined = l.Now, l.First
	}
}

// Update determines whether the VM may lend now.
func (t *Tenure) Update(e Evidence) {
	if !t.fewerAt.IsZero() && !e.Now.Before(t.fewerAt) {
		t.Lenders, t.fewerAt = t.fewer, time.Time{}
	}
	waited := e.Now.Sub(t.ListedSince) >= e.MaxListAge+noticeTime || t.Joined && e.Known
	switch {
	case t.ListedSince.IsZero():
	case !e.Current:
		// Others may have taken over. The VM waits again once its list is current.
		t.LendingSince, t.ListedSince, t.Joined = time.Time{}, e.Now, true
	case t.LendingSince.IsZero() && waited:
		t.LendingSince = e.Now
	}
}
