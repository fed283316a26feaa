package quota

import (
	"math"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxRetryAfter bounds the time after which a VM is told to ask again.
const maxRetryAfter = 5 * time.Second

// Bucket holds what a lender may lend of one account's quota: a token bucket that is
// empty at first. The zero Bucket is ready for use; its methods must not be called at
// the same time.
type Bucket struct {
	lendingSince time.Time
	at           time.Time
	tokens       float64
	// The borrowers' demands of the running period and of the one before. A period
	// lasts as long as a loan.
	period            time.Time
	current, previous map[chervilladder.VMID]use
	// demanded is the sum of the demands of the running period, demandedBefore that of
	// the one before.
	demanded, demandedBefore float64
}

// use is what a VM demanded and was lent in a period.
type use struct{ demanded, lent float64 }

// Request is a VM's request for a part of an account's quota.
type Request struct {
	Borrower chervilladder.VMID
	Demand   chervilladder.Operations
	// Quota is the account's, and Lenders the number of VMs that share it.
	Quota   chervilladder.Quota
	Lenders int
	// LendingSince is since when this VM may lend.
	LendingSince time.Time
	Terms        Terms
}

// Lend lends whole operations, at most the demand. If it lends less, it returns the time
// after which more can be lent.
func (b *Bucket) Lend(r Request, now time.Time) (lent chervilladder.Operations, retryAfter time.Duration) {
	s := shareOf(r.Quota, r.Lenders, r.Terms)
	if !b.lendingSince.Equal(r.LendingSince) {
		*b = Bucket{lendingSince: r.LendingSince, at: r.LendingSince}
	}
	b.accrue(s, now)
	b.advance(r.Terms.Lifetime, now)
	used := b.current[r.Borrower]
	used.demanded += float64(r.Demand)
	b.demanded += float64(r.Demand)
	b.current[r.Borrower] = used
	available := b.tokens - b.reserved(r.Borrower, s, r.Terms.Lifetime-now.Sub(b.period))
	amount := max(0, math.Floor(min(float64(r.Demand), b.tokens, max(1-used.lent, available))))
	b.tokens -= amount
	used.lent += amount
	b.current[r.Borrower] = used
	if amount >= float64(r.Demand) {
		return chervilladder.Operations(amount), 0
	}
	return chervilladder.Operations(amount), max(s.accrual(1-min(1, b.tokens)), r.Terms.RetryInterval())
}

// accrue adds the tokens of the time since the last call.
func (b *Bucket) accrue(s share, now time.Time) {
	if now.After(b.at) {
		b.tokens += s.rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, s.capacity)
}

// advance begins a new period once the running one has ended.
func (b *Bucket) advance(length time.Duration, now time.Time) {
	switch age := now.Sub(b.period); {
	case b.current == nil || age >= 2*length:
		b.previous, b.demandedBefore = nil, 0
	case age >= length:
		b.previous, b.demandedBefore = b.current, b.demanded
	default:
		return
	}
	b.period, b.current, b.demanded = now, make(map[chervilladder.VMID]use), 0
}

// reserved returns how much a borrower leaves to others. If the demands exceed what can
// be lent in the running period, a borrower that demands more than its fair part leaves an
// operation while others that demand less haven't been lent all of theirs.
func (b *Bucket) reserved(borrower chervilladder.VMID, s share, left time.Duration) float64 {
	supply := b.tokens + s.rate*max(0, left).Seconds()
	if b.demanded+b.demandedBefore <= supply {
		return 0
	}
	demands := make([]float64, 0, len(b.current)+len(b.previous))
	for vm, u := range b.current {
		supply += u.lent
		demands = append(demands, max(u.demanded, b.previous[vm].demanded))
	}
	for vm, u := range b.previous {
		if _, again := b.current[vm]; !again {
			demands = append(demands, u.demanded)
		}
	}
	level := fairLevel(demands, supply)
	if max(b.current[borrower].demanded, b.previous[borrower].demanded) <= level {
		return 0
	}
	unmet := 0.0
	for vm, u := range b.current {
		if demanded := max(u.demanded, b.previous[vm].demanded); demanded <= level {
			unmet += max(0, demanded-u.lent)
		}
	}
	for vm, u := range b.previous {
		if _, again := b.current[vm]; !again && u.demanded <= level {
			unmet += u.demanded
		}
	}
	return min(1, unmet)
}

// fairLevel returns the max-min fair share: a supply meets all demands up to it in full,
// and each greater one up to it.
func fairLevel(demands []float64, supply float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		level := supply / float64(len(demands)-i)
		if d > level {
			return level
		}
		supply -= d
	}
	return math.Inf(1)
}
