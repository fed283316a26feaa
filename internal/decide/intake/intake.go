// Package intake decides how much of a VM's memory and how many of its descriptors
// callers may take, and which caller is closed first when they run out.
package intake

import (
	"sync"
	"sync/atomic"
)

const (
	// accountDivisor divides the VM's memory into what callers may make it hold. The rest
	// is for idle sessions, links, control and garbage.
	accountDivisor = 6
	// minLimit lets a message of the largest legal size through in any case.
	minLimit Bytes = 16 << 20
	// keptDivisor divides the limit into what sessions may keep for as long as they last.
	keptDivisor = 2
)

// Bytes is an amount of memory.
type Bytes int64

// Limit returns the limit of an account for a VM's memory; zero memory means no limit.
func Limit(memory Bytes) Bytes {
	if memory <= 0 {
		return 0
	}
	return max(minLimit, memory/accountDivisor)
}

// Account is the memory that callers make a VM hold: requests that are being read, work
// that waits, answers that wait to be read, and what sessions keep. Small messages don't
// pass through it.
//
//	h := account.NewHolder(closeConnection)
//	defer h.Release()
//	if !h.Take(size) {
//		return errRefused
//	}
type Account struct {
	limit, used atomic.Int64

	mu      sync.Mutex
	changed sync.Cond
	kept    Bytes
	// leaving is what the callers that are being closed still hold.
	leaving Bytes
	holders map[*Holder]struct{}
	// serial orders the holders by when they last began to hold something.
	serial uint64
}

// NewAccount returns an account without a limit.
func NewAccount() *Account {
	a := &Account{holders: make(map[*Holder]struct{})}
	a.changed.L = &a.mu
	return a
}

// SetLimit changes the limit; zero means none.
func (a *Account) SetLimit(limit Bytes) { a.limit.Store(int64(limit)) }

// Used returns how much is held.
func (a *Account) Used() Bytes { return Bytes(a.used.Load()) }

// Limit returns the limit; zero means none.
func (a *Account) Limit() Bytes { return Bytes(a.limit.Load()) }

// fits reports whether n more bytes are within the limit. The lock is held.
func (a *Account) fits(n Bytes) bool {
	limit := a.Limit()
	return limit == 0 || a.Used()+n <= limit
}

// Keep takes memory that a session keeps for as long as it lasts. It reports whether it
// fits; Drop gives it back.
func (a *Account) Keep(n Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := a.Limit(); limit > 0 && (a.kept+n > limit/keptDivisor || !a.fits(n)) {
		return false
	}
	a.kept += n
	a.used.Add(int64(n))
	return true
}

// Drop gives back what Keep has taken.
func (a *Account) Drop(n Bytes) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept -= n
	a.used.Add(-int64(n))
	a.changed.Broadcast()
}

// Holder is what one caller makes the VM hold. It is used by one goroutine.
type Holder struct {
	account *Account
	// close closes the caller's connection. It must not block.
	close func()

	// The rest is protected by the account's lock.
	held  Bytes
	since uint64
	// pinned is set while closing the caller would not free the memory soon: its work
	// runs or waits for a slot.
	pinned, closed bool
}

// NewHolder returns a holder. close is called if the caller is to be closed; it must make
// the holder's goroutine release what it holds.
func (a *Account) NewHolder(close func()) *Holder { return &Holder{account: a, close: close} }

// Take takes n more bytes and reports whether the caller may go on. If they don't fit,
// it closes the callers that hold most and waits until they have released it. It returns
// false if this caller would hold most, if all others are pinned, or if this one is
// closed.
func (h *Holder) Take(n Bytes) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.fits(n) && !h.closed {
		missing := a.Used() + n - a.Limit() - a.leaving
		if missing > 0 && !a.closeLargest(h, h.held+n) {
			return false
		}
		if missing <= 0 {
			a.changed.Wait()
		}
	}
	if h.closed {
		return false
	}
	a.add(h, n)
	return true
}

// TakeAnyway takes n bytes that the VM holds already, and closes the callers that hold
// most until as much is about to be free.
func (h *Holder) TakeAnyway(n Bytes) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, n)
	for a.Limit() > 0 && a.Used()-a.leaving > a.Limit() && a.closeLargest(nil, 0) {
	}
}

// add records that a holder holds n bytes more. The lock is held.
func (a *Account) add(h *Holder, n Bytes) {
	if h.held == 0 {
		a.serial++
		h.since = a.serial
		a.holders[h] = struct{}{}
	}
	h.held += n
	a.used.Add(int64(n))
	if h.closed {
		a.leaving += n
	}
}

// closeLargest closes the caller that holds most; of equal ones, the one that has held
// something for the longest time. It returns false if there is none, or if it holds less
// than size, which is what the asking caller would hold. The lock is held.
func (a *Account) closeLargest(asking *Holder, size Bytes) bool {
	var largest *Holder
	for h := range a.holders {
		if h != asking && !h.pinned && !h.closed && (largest == nil || h.before(largest)) {
			largest = h
		}
	}
	if largest == nil || largest.held < size {
		return false
	}
	largest.closed = true
	a.leaving += largest.held
	largest.close()
	a.changed.Broadcast() // the closed caller may be waiting in Take
	return true
}

// before reports whether the holder is closed before another one.
func (h *Holder) before(other *Holder) bool {
	if h.held != other.held {
		return h.held > other.held
	}
	return h.since < other.since
}

// Held returns what the caller holds.
func (h *Holder) Held() Bytes {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.held
}

// Pin keeps the caller from being closed for what it holds while its work runs. It returns
// false if the caller is being closed already.
func (h *Holder) Pin() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.pinned = !h.closed
	return h.pinned
}

// Release gives back all that the caller holds, and unpins it.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used.Add(-int64(h.held))
	if h.closed {
		a.leaving -= h.held
	}
	h.held, h.pinned = 0, false
	delete(a.holders, h)
	a.changed.Broadcast()
}
