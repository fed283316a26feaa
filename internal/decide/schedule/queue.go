// Package schedule decides which work gets which slot of a database.
package schedule

import (
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Ticket is work that waits for a slot.
type Ticket struct {
	Priority chervilladder.Priority
	Deadline time.Time
	// Access says whether a replica may run the work.
	Access chervilladder.Access
	// Readable reports whether a replica may serve the work now. It must
	// not block.
	Readable func(chervilladder.UpstreamID) bool
	// ReplicaOnlyUntil is until when the work waits for a replica before
	// it falls back to the primary.
	ReplicaOnlyUntil time.Time

	granted chan chervilladder.UpstreamID
}

// Granted receives the upstream at which the ticket holds a slot.
func (t *Ticket) Granted() <-chan chervilladder.UpstreamID {
	return t.granted
}

// Capacity is the slots of one upstream as the queue may use them.
type Capacity struct {
	Upstream chervilladder.UpstreamID
	Slots    int
	Primary  bool
}

// Queue holds the work that waits for the slots of one database. Its lock is
// never held during I/O.
type Queue struct {
	mu      sync.Mutex
	waiting [chervilladder.PriorityCount][]*Ticket
	slots   []slots
}

type slots struct {
	Capacity
	used int
}

// Configure sets the capacities. Slots in use stay in use until released.
func (q *Queue) Configure(list []Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make([]slots, len(list))
	for i, c := range list {
		next[i] = slots{Capacity: c}
		if old := q.find(c.Upstream); old != nil {
			next[i].used = old.used
		}
	}
	for i := range q.slots {
		if old := &q.slots[i]; old.used > 0 && !listed(list, old.Upstream) {
			next = append(next, slots{Capacity: Capacity{Upstream: old.Upstream}, used: old.used})
		}
	}
	q.slots = next
	q.dispatch()
}

// Submit queues a ticket; it is granted at once if a slot is free.
func (q *Queue) Submit(t *Ticket) error {
	t.granted = make(chan chervilladder.UpstreamID, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[t.Priority] = append(q.waiting[t.Priority], t)
	q.dispatch()
	return nil
}

// Withdraw takes a ticket back. If it was granted meanwhile, its slot is
// released.
func (q *Queue) Withdraw(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case id := <-t.granted:
		q.release(id)
	default:
		q.remove(t)
	}
	q.dispatch()
}

// Release gives a slot back.
func (q *Queue) Release(id chervilladder.UpstreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(id)
	q.dispatch()
}

// Dispatch grants what can be granted. Call it after the evidence changed by
// which tickets are readable.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// Waiting returns how many tickets wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, list := range q.waiting {
		n += len(list)
	}
	return n
}

func (q *Queue) dispatch() {
	now := time.Now()
	for p := range q.waiting {
		kept := q.waiting[p][:0]
		for _, t := range q.waiting[p] {
			if s := q.choose(t, now); s != nil {
				s.used++
				t.granted <- s.Upstream
				continue
			}
			kept = append(kept, t)
		}
		clear(q.waiting[p][len(kept):])
		q.waiting[p] = kept
	}
}

// choose returns the member with the most free slots that may run a ticket.
func (q *Queue) choose(t *Ticket, now time.Time) *slots {
	var best, primary *slots
	for i := range q.slots {
		s := &q.slots[i]
		if s.used >= s.Slots {
			continue
		}
		if s.Primary {
			primary = s
			continue
		}
		if t.Access != chervilladder.AccessRead || !t.Readable(s.Upstream) {
			continue
		}
		if best == nil || s.Slots-s.used > best.Slots-best.used {
			best = s
		}
	}
	if best != nil {
		return best
	}
	if t.Access == chervilladder.AccessRead && now.Before(t.ReplicaOnlyUntil) {
		return nil
	}
	return primary
}

func (q *Queue) release(id chervilladder.UpstreamID) {
	if s := q.find(id); s != nil && s.used > 0 {
		s.used--
	}
}

func (q *Queue) find(id chervilladder.UpstreamID) *slots {
	for i := range q.slots {
		if q.slots[i].Upstream == id {
			return &q.slots[i]
		}
	}
	return nil
}

func (q *Queue) remove(t *Ticket) {
	list := q.waiting[t.Priority]
	for i, other := range list {
		if other == t {
			q.waiting[t.Priority] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

func listed(list []Capacity, id chervilladder.UpstreamID) bool {
	for _, c := range list {
		if c.Upstream == id {
			return true
		}
	}
	return false
}
