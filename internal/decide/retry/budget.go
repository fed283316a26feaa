// Package retry decides whether and when failed work is retried.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// A retry costs one token, and a success earns back a share of one. Amounts are
// in thousandths of a token.
const (
	retryCost     = 1000
	successEarns  = 100
	budgetCeiling = 10 * retryCost
)

// Budget limits the retries at one database to a share of its successes, and to
// a small fixed number while nothing succeeds. The zero Budget is full:
//
//	if mayBeRepeated && db.Retries.Spend() {
//		// wait for retry.Delay(number), then try again
//	}
type Budget struct {
	spent atomic.Int64
}

// Spend takes a token, and reports false if there is none left.
func (b *Budget) Spend() bool {
	for {
		spent := b.spent.Load()
		if spent+retryCost > budgetCeiling {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+retryCost) {
			return true
		}
	}
}

// Succeeded earns back a share of a token.
func (b *Budget) Succeeded() {
	for {
		spent := b.spent.Load()
		if spent == 0 {
			return
		}
		if b.spent.CompareAndSwap(spent, max(0, spent-successEarns)) {
			return
		}
	}
}

// The greatest delay before the first retry, and before any retry.
const (
	firstDelay = 10 * time.Millisecond
	maxDelay   = 320 * time.Millisecond
)

// Delay returns how long to wait before a retry, given its number; the first retry
// is number one.
// It backs off exponentially with full jitter: the delay is uniform between zero
// and a bound that doubles with each retry, so that work which failed at the
// same time isn't retried at the same time.
func Delay(number int) time.Duration {
	bound := maxDelay
	if number < 6 {
		bound = firstDelay << max(0, number-1)
	}
	return rand.N(bound)
}

// Jitter returns a random duration from half of d to one and a half times d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
