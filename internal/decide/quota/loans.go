package quota

import (
	"sync/atomic"
	"time"
)

// loanSlots is the number of loans of an account that a VM holds at a time.
const loanSlots = 16

// Loans holds what a VM has borrowed of an account's quota. Take may be called from any
// goroutine; Add from one at a time. The zero Loans is empty.
type Loans struct {
	slots [loanSlots]atomic.Pointer[loan]
}

// loan is a number of operations that may be used until a time.
type loan struct {
	expires time.Time
	left    atomic.Int64
}

// Take takes one operation, and reports false if there is none. It takes no lock and
// allocates nothing.
func (l *Loans) Take(now time.Time) bool {
	for i := range l.slots {
		if entry := l.slots[i].Load(); entry != nil && entry.take(now) {
			return true
		}
	}
	return false
}

func (l *loan) take(now time.Time) bool {
	if !now.Before(l.expires) {
		return false
	}
	for {
		left := l.left.Load()
		if left <= 0 {
			return false
		}
		if l.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Add adds a loan in place of one that is used up or has expired, or else of the one
// that expires first.
func (l *Loans) Add(operations int64, expires, now time.Time) {
	added := &loan{expires: expires}
	added.left.Store(operations)
	first := 0
	for i := range l.slots {
		entry := l.slots[i].Load()
		if entry == nil || entry.left.Load() <= 0 || !now.Before(entry.expires) {
			first = i
			break
		}
		if entry.expires.Before(l.slots[first].Load().expires) {
			first = i
		}
	}
	l.slots[first].Store(added)
}

// Left returns how many operations may still be taken at a time.
func (l *Loans) Left(at time.Time) int64 {
	sum := int64(0)
	for i := range l.slots {
		if entry := l.slots[i].Load(); entry != nil && at.Before(entry.expires) {
			sum += max(0, entry.left.Load())
		}
	}
	return sum
}
