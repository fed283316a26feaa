package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// recheckLimit bounds how many tickets of a lane have their eligible members
// computed again after the state of the replicas changed.
const recheckLimit = 256

// Configure sets the capacities. Slots in use remain in use until released.
func (q *Queue) Configure(list []Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.updateCredits(now)
	q.markSlowReplicas(now)
	if slices.Equal(q.capacities, list) {
		q.recheck()
	} else {
		q.reconfigure(list)
	}
	q.dispatch()
}

// recheck computes again which members may run the reads that some replica could
// not serve so far. It includes replicas without a free slot: the slot that one
// frees next must go to the most urgent of these reads.
func (q *Queue) recheck() {
	now := time.Now()
	var replicas memberSet
	for i, m := range q.members {
		if !m.Primary {
			replicas = replicas.with(i)
		}
	}
	for _, l := range slices.Clone(q.lanes) {
		if replicas&^l.members != 0 && l.access == chervilladder.AccessRead {
			q.recheckLane(l, now)
		}
	}
}

func (q *Queue) recheckLane(l *lane, now time.Time) {
	left := recheckLimit
	for _, fq := range slices.Clone(l.queues) {
		for t := fq.first; t != nil && left > 0; left-- {
			next := t.next
			q.requeue(t, now)
			t = next
		}
	}
}

// reconfigure replaces the members and queues all waiting tickets again. A removed
// member that still runs tickets is kept without slots until they end.
func (q *Queue) reconfigure(list []Capacity) {
	q.capacities = slices.Clone(list)
	waiting := q.takeAll()
	next := make([]*member, 0, len(list))
	for _, c := range list[:min(len(list), maxMembers)] {
		next = append(next, q.member(c))
	}
	for _, m := range q.members {
		if len(m.running) > 0 && !slices.Contains(next, m) && len(next) < maxMembers {
			m.Slots = 0
			next = append(next, m)
		}
	}
	q.members, q.lanes = next, nil
	for _, f := range q.flows {
		f.queues = nil
	}
	now := time.Now()
	for _, t := range waiting {
		q.push(t, now)
	}
}

// member returns the existing member with its new capacity, or a new one.
func (q *Queue) member(c Capacity) *member {
	for _, m := range q.members {
		if m.Upstream == c.Upstream {
			m.Capacity = c
			return m
		}
	}
	return &member{Capacity: c}
}

// takeAll removes and returns all waiting tickets in order of arrival.
func (q *Queue) takeAll() []*Ticket {
	list := make([]*Ticket, 0, q.waiting)
	for _, l := range q.lanes {
		for len(l.queues) > 0 {
			t := l.queues[0].first
			q.unqueue(t)
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *Ticket) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}
