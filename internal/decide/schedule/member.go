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
}

func (m *member) free() int {
	return m.Slots - m.used
}

// memberSet is a set of members by their index in the queue.
type memberSet uint64

// maxMembers is how many members a memberSet can hold.
const maxMembers = 64

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

func (s memberSet) with(i int) memberSet { return s | 1<<i }
