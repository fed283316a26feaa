// Package locality decides which share of a service's work leaves the VM's data centre: none
// until work loses more time at the data centre's own hosts than at those of the others,
// the way there and back included, and then as little as evens that out. It answers the
// load under which one data centre has too few hosts, or slow ones.
package locality

import "time"

const (
	// leaveAfter is how long leaving must pay before any work leaves.
	leaveAfter = 500 * time.Millisecond
	// stepEvery is the time in which the share changes by step. Both are small, so that
	// the costs follow before the next change.
	stepEvery = 250 * time.Millisecond
	step      = 0.05
	maxShare  = 0.8
	// backPart is how many times slower work comes back than it leaves: what left is
	// needed again if it comes back too fast.
	backPart = 4
	// minGain is the least time that leaving must save for more work to leave, and
	// gainPart the part of the own cost that it must save. Between that and no gain the
	// share stays as it is.
	minGain  = 3 * time.Millisecond
	gainPart = 4
	// stayFor is for how long no work leaves after it turned out not to pay.
	stayFor = 5 * time.Second
)

// UnknownCost is the cost to assume of hosts from which nothing is known yet.
const UnknownCost = 10 * time.Millisecond

// Costs are the times that work is expected to lose at the hosts of the VM's own data
// centre and at those of others, on the way and waiting for a slot.
type Costs struct{ Own, Other time.Duration }

// State is the decision for one kind of work of a service. The zero State lets none leave.
type State struct {
	// Share is the share of the callers whose work leaves.
	Share float64
	// paysFor is for how long leaving has paid; staysFor for how long no work leaves yet.
	paysFor, staysFor time.Duration
	// own is the own cost before. While it falls, enough work has left.
	own time.Duration
}

// Next returns the state after a time in which the costs were as given.
func (s State) Next(c Costs, passed time.Duration) State {
	s.staysFor = max(0, s.staysFor-passed)
	change := step * float64(passed) / float64(stepEvery)
	falls := c.Own < s.own
	s.own = c.Own
	switch gain := c.Own - c.Other; {
	case gain > max(minGain, c.Own/gainPart):
		s.paysFor += passed
		if s.paysFor >= leaveAfter && s.staysFor == 0 && !falls {
			s.Share = min(maxShare, s.Share+change)
		}
	case gain < 0:
		s.paysFor = 0
		s = s.back(change / backPart)
	}
	return s
}

// back lets less work leave.
func (s State) back(change float64) State {
	if s.Share == 0 {
		return s
	}
	s.Share -= change
	if s.Share <= 0 {
		s.Share, s.staysFor = 0, stayFor
	}
	return s
}

// Leaves reports whether the work of a caller leaves, by a hash of the caller. When the
// share grows, the callers whose work has left stay among those whose work leaves.
func (s State) Leaves(caller uint64) bool {
	return s.Share > 0 && float64(caller>>11)/(1<<53) < s.Share
}
