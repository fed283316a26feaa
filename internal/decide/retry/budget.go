// Package retry decides whether, and when, work that failed is tried again.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// A retry costs one token, of which a success earns back a share. Counts are
// in thousandths of a token.
const (
	retryCost     = 1000
	successEarns  = 100
	budgetCeiling = 10 * retryCost
)

// Budget bounds the retries at one database to a share of its successes, and
// to a few while nothing succeeds. The zero Budget is full:
//
//	if mayBeRepeated && db.Retries.Spend() {
//		// wait for retry.Delay(attempt), then try again
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

// The bounds of the delay before the first retry and before any.
const (
	firstDelay = 10 * time.Millisecond
	maxDelay   = 320 * time.Millisecond
)

// Delay returns how long to wait before an attempt; the first retry is number
// one. It is drawn evenly from zero to a bound that doubles, so that work
// which failed together is not tried again together.
func Delay(attempt int) time.Duration {
	bound := maxDelay
	if attempt < 6 {
		bound = firstDelay << max(0, attempt-1)
	}
	return rand.N(bound)
}

// Spread returns a time around d, from half of it to one and a half.
func Spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
