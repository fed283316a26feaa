package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// recheckLimit bounds how many tickets of a lane are looked at again after a
// change of the evidence.
const recheckLimit = 256

// Configure sets the capacities. Slots in use stay in use until released.
func (q *Queue) Configure(list []Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.account(now)
	q.judge(now)
	if slices.Equal(q.capacities, list) {
		q.recheck()
	} else {
		q.replace(list)
	}
	q.dispatch()
}

// recheck looks again at reads that some replica could not serve, also when
// the replica has no free slot: the slot that it frees next must go to the
// most urgent of them.
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
	for _, line := range slices.Clone(l.lines) {
		for t := line.first; t != nil && left > 0; left-- {
			next := t.next
			q.move(t, now)
			t = next
		}
	}
}

// replace takes over a changed list of members and queues all work again.
func (q *Queue) replace(list []Capacity) {
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
		f.lines = nil
	}
	now := time.Now()
	for _, t := range waiting {
		q.push(t, now)
	}
}

// member returns the member of a capacity with its new values.
func (q *Queue) member(c Capacity) *member {
	for _, m := range q.members {
		if m.Upstream == c.Upstream {
			m.Capacity = c
			return m
		}
	}
	return &member{Capacity: c}
}

// takeAll takes all waiting tickets out, in order of arrival.
func (q *Queue) takeAll() []*Ticket {
	list := make([]*Ticket, 0, q.waiting)
	for _, l := range q.lanes {
		for len(l.lines) > 0 {
			t := l.lines[0].first
			q.drop(t)
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *Ticket) int { return cmp.Compare(a.number, b.number) })
	return list
}
