package schedule

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Capacity is the slots of one upstream as the queue may use them.
type Capacity struct {
	Upstream chervilladder.UpstreamID
	Slots    int
	Primary  bool
}

// member is one upstream and the slots of it that are in use.
type member struct {
	Capacity
	// running is the tickets that hold the used slots.
	running []*Ticket
	pace    pace
	// slow is set while the member is slow beside its peers.
	slow bool
}

// keptFree is how many slots of a primary long work leaves to short work. A
// primary with a single slot keeps none free, or long work would never run.
const keptFree = 1

// admits reports whether a member has a slot for work of a class.
func (m *member) admits(c *class, now time.Time) bool {
	if m.free() <= 0 {
		return false
	}
	if !m.Primary || m.Slots <= keptFree {
		return true
	}
	// Counting comes first: it may show that the class is long.
	running := m.long(now)
	return !c.long(now) || running < m.Slots-keptFree
}

// long counts the running work that was expected to be long, or has shown to
// be, below the most urgent priority.
func (m *member) long(now time.Time) int {
	n := 0
	for _, t := range m.running {
		if t.class.priority == chervilladder.PriorityUrgent {
			continue
		}
		held := now.Sub(t.since)
		t.class.noteLong(held, now)
		if t.long || held > longService {
			n++
		}
	}
	return n
}

func (m *member) free() int {
	return m.Slots - len(m.running)
}

// take gives a ticket a slot.
func (m *member) take(t *Ticket, now time.Time) {
	m.running = append(m.running, t)
	t.member, t.since, t.pool = m, now, m.pool()
	t.long = t.class.long(now)
	t.class.shares[t.pool].running++
}

// giveBack ends a ticket's use of its slot.
func (m *member) giveBack(t *Ticket, now time.Time) {
	i := slices.Index(m.running, t)
	m.running = slices.Delete(m.running, i, i+1)
	t.member = nil
	t.class.shares[t.pool].running--
	t.class.noteLong(now.Sub(t.since), now)
}

// memberSet is a set of members by their index in the queue.
type memberSet uint64

// maxMembers is how many members a memberSet can hold.
const maxMembers = 64

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

func (s memberSet) with(i int) memberSet { return s | 1<<i }
