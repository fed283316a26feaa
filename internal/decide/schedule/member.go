package schedule

import "github.com/chervilladder/chervilladder"

// Capacity is the slots of one upstream as the queue may use them.
type Capacity struct {
	Upstream chervilladder.UpstreamID
	Slots    int
	Primary  bool
}

// member is one upstream and the slots of it that are in use.
type member struct {
	Capacity
	used int
	// long is how many of the used slots hold work that is expected to
	// hold them for long.
	long int
	pace pace
	// slow is set while the member is slow beside its peers.
	slow bool
}

// keptFree is how many slots of a primary long work leaves to short work. A
// primary with a single slot keeps none free, or long work would never run.
const keptFree = 1

// admits reports whether a member has a slot for work of a class.
func (m *member) admits(c *class) bool {
	if !m.Primary || m.Slots <= keptFree || !c.long() {
		return m.free() > 0
	}
	return m.free() > 0 && m.long < m.Slots-keptFree
}

func (m *member) free() int {
	return m.Slots - m.used
}

// take gives a ticket a slot.
func (m *member) take(t *Ticket) {
	m.used++
	t.member, t.long = m, t.class.long()
	t.class.shares[m.pool()].running++
	t.pool = m.pool()
	if t.long {
		m.long++
	}
}

// giveBack ends a ticket's use of its slot.
func (m *member) giveBack(t *Ticket) {
	m.used--
	t.member = nil
	t.class.shares[t.pool].running--
	if t.long {
		m.long--
	}
}

// memberSet is a set of members by their index in the queue.
type memberSet uint64

// maxMembers is how many members a memberSet can hold.
const maxMembers = 64

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

func (s memberSet) with(i int) memberSet { return s | 1<<i }
