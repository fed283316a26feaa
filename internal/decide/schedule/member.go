package schedule

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Capacity is the number of slots of one upstream that the queue may use.
type Capacity struct {
	Upstream chervilladder.UpstreamID
	Slots    int
	Primary  bool
	// Distant is set if the upstream is in another data centre.
	Distant bool
}

// member is one upstream with the tickets that run on it.
type member struct {
	Capacity
	// running holds the tickets that use a slot.
	running  []*Ticket
	slowdown slowdown
	// slow is set while the member is much slower than the fastest replica.
	slow bool
}

// near reports whether a replica is preferred for its data centre: it has half of its slots
// free or more, so that work waits at it for less time than the way to another takes.
func (m *member) near() bool { return !m.Distant && !m.slow && 2*m.free() >= m.Slots }

// slotsForShortWork is how many slots of a primary long work may not use. A primary
// with a single slot reserves none, since otherwise long work would never run.
const slotsForShortWork = 1

// admits reports whether a member has a free slot that work of a class may use.
func (m *member) admits(c *class, now time.Time) bool {
	if m.free() <= 0 {
		return false
	}
	if !m.Primary || m.Slots <= slotsForShortWork {
		return true
	}
	// Count first: longRunning may mark the class as long.
	running := m.longRunning(now)
	return !c.long(now) || running < m.Slots-slotsForShortWork
}

// longRunning counts the running tickets that were expected to be long or have
// already run for long, without those of the most urgent priority. It marks the
// classes of the latter as long.
func (m *member) longRunning(now time.Time) int {
	n := 0
	for _, t := range m.running {
		if t.class.priority == chervilladder.PriorityUrgent {
			continue
		}
		held := now.Sub(t.started)
		t.class.recordLong(held, now)
		if t.long || held > longService {
			n++
		}
	}
	return n
}

func (m *member) free() int {
	return m.Slots - len(m.running)
}

// assignSlot gives a ticket a slot.
func (m *member) assignSlot(t *Ticket, now time.Time) {
	m.running = append(m.running, t)
	t.member, t.started, t.pool = m, now, m.pool()
	t.long = t.class.long(now)
	t.class.shares[t.pool].running++
}

// freeSlot ends a ticket's use of its slot.
func (m *member) freeSlot(t *Ticket, now time.Time) {
	i := slices.Index(m.running, t)
	m.running = slices.Delete(m.running, i, i+1)
	t.member = nil
	t.class.shares[t.pool].running--
	t.class.recordLong(now.Sub(t.started), now)
}

// memberSet is a set of members by their index in the queue.
type memberSet uint64

// maxMembers is how many members a memberSet can hold.
const maxMembers = 64

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

func (s memberSet) with(i int) memberSet { return s | 1<<i }
