package schedule

import "time"

// overloadAfter is for how long a flow's wait has to stay above its limit
// until the flow counts as overloaded. Busy upstreams make shorter queues.
const overloadAfter = 500 * time.Millisecond

// overloadShare is the share of refused work below which an overload is over.
const overloadShare = 1.0 / 8

// overloadWeight is the weight of each piece of work in that share.
const overloadWeight = 1.0 / 32

// overload follows whether the wait of a flow has stayed above its limit. A
// burst may wait up to its deadline; a queue that stays long helps nobody,
// since the same work would be done with a short one.
type overload struct {
	// since is when the expected wait rose above its limit; zero while it
	// is below.
	since time.Time
	// refused is the share of work that an overload has lately refused;
	// zero without one.
	refused float64
}

// refuses reports whether work that is expected to wait for longer than its
// limit is to be refused, and follows the expectation.
func (o *overload) refuses(wait, limit time.Duration, now time.Time) bool {
	over := wait > limit
	if o.refused > 0 {
		return o.goOn(over)
	}
	if !over {
		o.since = time.Time{}
		return false
	}
	if o.since.IsZero() {
		o.since = now
	}
	if now.Sub(o.since) < overloadAfter {
		return false
	}
	o.refused = 1
	return true
}

// goOn follows an overload until little work is refused for it.
func (o *overload) goOn(over bool) bool {
	o.refused -= o.refused * overloadWeight
	if over {
		o.refused += overloadWeight
	}
	if o.refused < overloadShare {
		*o = overload{}
		return false
	}
	return over
}
