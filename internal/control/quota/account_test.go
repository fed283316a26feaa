package quota_test

import (
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// account counts the operations of a client account.
type account struct {
	mu       sync.Mutex
	admitted []time.Time
	offered  int
	refused  int
	waited   time.Duration
	// beyond counts the operations that one token bucket of the whole quota wouldn't
	// have admitted: tokens is what it held at the time at.
	beyond int
	tokens float64
	at     time.Time
}

// offer applies an operation to the token bucket of the whole quota.
func (a *account) offer(q chervilladder.Quota) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.tokens = min(float64(q.Burst), a.tokens+now.Sub(a.at).Seconds()*float64(q.Rate))
	a.at = now
	if a.tokens >= 1 {
		a.tokens--
	} else {
		a.beyond++
	}
}

// wronglyRefused returns how many more operations were refused than lie beyond the quota.
func (a *account) wronglyRefused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.refused-a.beyond)
}

// totals are the counts of an account at one moment.
type totals struct {
	offered, refused, beyond, admitted int
	meanWait                           time.Duration
}

// totals returns the counts. Operations may still be running.
func (a *account) totals() totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return totals{
		offered: a.offered, refused: a.refused, beyond: a.beyond, admitted: len(a.admitted),
		meanWait: a.waited / time.Duration(max(1, a.offered)),
	}
}

// most returns the greatest number of operations admitted in any window.
func (a *account) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.admitted {
		for at.Sub(a.admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
