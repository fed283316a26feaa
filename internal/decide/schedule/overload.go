package schedule

import "time"

// overloadMemory is how long a flow stays overloaded after the last work that
// was refused for it.
const overloadMemory = time.Second

// overload follows whether the wait of a flow has stayed above its target.
// A burst may wait up to its deadline; a queue that stays long helps nobody,
// since the same work would be done with a short one.
type overload struct {
	// since is when the expected wait rose above its limit; zero while it
	// is below.
	since time.Time
	// refused is when work was last refused.
	refused time.Time
}

// refuses reports whether work that is expected to wait for longer than its
// limit is to be refused, and follows the expectation.
func (o *overload) refuses(wait, limit, target time.Duration, now time.Time) bool {
	if wait <= limit {
		o.since = time.Time{}
		return false
	}
	if o.since.IsZero() {
		o.since = now
	}
	if now.Sub(o.since) < target && now.Sub(o.refused) > overloadMemory {
		return false
	}
	o.refused = now
	return true
}
