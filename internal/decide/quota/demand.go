package quota

import (
	"math"
	"time"

	"github.com/chervilladder/chervilladder"
)

const (
	// smoothing is the weight of the last interval in an average rate.
	smoothing = 0.3
	// requestMargin is how much longer than until the next refill a VM borrows for:
	// the time that a request takes.
	requestMargin = 50 * time.Millisecond
	// minAhead is the number of operations in a refill interval from which a VM
	// borrows ahead. With fewer, much of what it borrows would expire unused.
	minAhead = 3
)

// Rate is a smoothed rate of operations.
type Rate struct{ perSecond float64 }

// Observe adds the operations of an interval.
func (r *Rate) Observe(operations int64, interval time.Duration) {
	if interval <= 0 {
		return
	}
	r.perSecond += smoothing * (float64(operations)/interval.Seconds() - r.perSecond)
}

// Over returns the operations to expect in an interval.
func (r *Rate) Over(interval time.Duration) float64 { return r.perSecond * interval.Seconds() }

// Demand is what determines how much a VM borrows of an account's quota.
type Demand struct {
	Quota chervilladder.Quota
	Terms Terms
	// Offered is the rate of the operations that the VM's callers ask for.
	Offered Rate
	// Waiting is the number of operations that wait for a loan, and Left the number
	// that can be admitted from loans until the next refill.
	Waiting, Left int64
}

// Operations returns how much to borrow now.
func (d Demand) Operations() chervilladder.Operations {
	need := float64(d.Waiting)
	if d.Offered.Over(d.Terms.RefillInterval()) >= minAhead {
		ahead := d.Offered.Over(d.Terms.RefillInterval() + requestMargin)
		need += ahead + math.Sqrt(ahead)
	}
	need = math.Ceil(need - float64(d.Left))
	all := math.Ceil(float64(d.Quota.Burst) + float64(d.Quota.Rate)*(d.Terms.Lifetime+d.Terms.Reserve).Seconds())
	return chervilladder.Operations(max(0, min(need, max(1, all))))
}
