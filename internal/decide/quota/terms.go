// Package quota decides how the quota of a client account is shared among the VMs: which
// VMs lend parts of it, how much, until when a loan may be used, and how much a VM
// borrows. It has no clock and sends nothing.
package quota

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

const (
	// defaultWindow stands for the window of a deployment that sets none.
	defaultWindow = 5 * time.Second
	// maxLifetime and maxReserve bound the Terms of long windows.
	maxLifetime = 250 * time.Millisecond
	maxReserve  = 200 * time.Millisecond
	// A lifetime of lifetimePercent and a reserve of reservePercent of the window
	// exceed the quota by less than a tenth.
	lifetimePercent = 5
	reservePercent  = 4
)

// Terms are the terms on which parts of quotas are lent. In any window, an account's
// operations may exceed its quota by its rate times the sum of Lifetime and Reserve, and
// by one for each lender.
type Terms struct {
	// Lifetime is how long a loan may be used.
	Lifetime time.Duration
	// Reserve is the time whose rate a lender keeps beyond the burst, since VMs
	// borrow for some time ahead.
	Reserve time.Duration
}

// TermsFor returns the terms for the window over which quotas must hold; zero if the
// deployment sets none.
func TermsFor(window time.Duration) Terms {
	if window <= 0 {
		window = defaultWindow
	}
	return Terms{
		Lifetime: min(maxLifetime, window*lifetimePercent/100),
		Reserve:  min(maxReserve, window*reservePercent/100),
	}
}

// RefillInterval returns how often a VM with steady demand borrows.
func (t Terms) RefillInterval() time.Duration { return t.Lifetime / 2 }

// RetryInterval returns the least time until a VM asks a lender again while they have too
// little for it. It has asked all of them before the reserve of any is full.
func (t Terms) RetryInterval() time.Duration { return t.Lifetime / 4 }

// share is a lender's part of a quota.
type share struct {
	rate     float64 // operations a second
	capacity float64 // operations
}

// shareOf divides a quota among lenders. A share holds one operation more than its part,
// since only whole operations are lent and a fraction of one is always left.
func shareOf(q chervilladder.Quota, lenders int, t Terms) share {
	n := float64(max(1, lenders))
	rate := float64(q.Rate) / n
	return share{rate: rate, capacity: 1 + float64(q.Burst)/n + rate*t.Reserve.Seconds()}
}

// accrual returns the time in which a share accrues an amount.
func (s share) accrual(operations float64) time.Duration {
	if s.rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(maxRetryAfter.Seconds(), operations/s.rate) * float64(time.Second))
}
