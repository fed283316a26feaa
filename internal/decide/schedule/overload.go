package schedule

import "time"

// overloadAfter is for how long a flow's expected wait has to stay above its limit
// until the flow counts as overloaded. A busy upstream may raise the wait for a
// shorter time; that is no overload.
const overloadAfter = 500 * time.Millisecond

// overloadShare is the moving share of refused tickets below which an overload ends.
const overloadShare = 1.0 / 8

// overloadWeight is the weight of each ticket in that share.
const overloadWeight = 1.0 / 32

// overload detects that the wait of a flow has stayed above its limit. A burst may
// wait up to its deadline, but a standing queue only adds latency: a short queue
// gives the same throughput.
type overload struct {
	// since is when the expected wait rose above its limit; zero while it
	// isn't above.
	since time.Time
	// refused is the moving share of tickets that are refused during an
	// overload; zero without one.
	refused float64
}

// recordAndDecide records the expected wait of a new ticket and reports whether the ticket
// is to be refused.
func (o *overload) recordAndDecide(wait, limit time.Duration, now time.Time) bool {
	over := wait > limit
	if o.refused > 0 {
		return o.decideInOverload(over)
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

// decideInOverload records a ticket during an overload and reports whether to refuse it.
// The overload ends once few tickets are refused.
func (o *overload) decideInOverload(over bool) bool {
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
