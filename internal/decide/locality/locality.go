// Package locality decides which share of a service's work leaves the VM's data centre: none
// until work loses more time at the data centre's own hosts than at those of others, the
// network included, and then just enough to make the two equal. It is for a data centre
// with too few hosts, or slow ones.
package locality

import "time"

const (
	// leaveAfter is how long leaving must pay before any work leaves.
	leaveAfter = 500 * time.Millisecond
	// The share changes by step in stepEvery. That is slow enough for the measured costs
	// to follow before the next change.
	stepEvery = 250 * time.Millisecond
	step      = 0.05
	maxShare  = 0.8
	// returnDivisor is how many times slower the share falls than it grows. If it fell
	// faster, the own hosts would be overloaded again and the share would oscillate.
	returnDivisor = 4
	// For more work to leave, leaving must save more than minGain and more than the own
	// cost divided by gainDivisor. Between that and no gain the share stays as it is.
	minGain     = 3 * time.Millisecond
	gainDivisor = 4
	// stayFor is for how long no work leaves after the share has fallen to zero.
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
	// paysFor is for how long leaving has saved enough time; staysFor is for how much
	// longer no work may leave.
	paysFor, staysFor time.Duration
	// own is the own cost at the previous decision. While it falls, enough work leaves.
	own time.Duration
}

// Next returns the next state, given the costs now and the time since the last decision.
func (s State) Next(c Costs, passed time.Duration) State {
	s.staysFor = max(0, s.staysFor-passed)
	change := step * float64(passed) / float64(stepEvery)
	falls := c.Own < s.own
	s.own = c.Own
	switch gain := c.Own - c.Other; {
	case gain > max(minGain, c.Own/gainDivisor):
		s.paysFor += passed
		if s.paysFor >= leaveAfter && s.staysFor == 0 && !falls {
			s.Share = min(maxShare, s.Share+change)
		}
	case gain < 0:
		s.paysFor = 0
		s = s.shrink(change / returnDivisor)
	}
	return s
}

// shrink reduces the share. Once it is zero, no work leaves for stayFor.
func (s State) shrink(change float64) State {
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
