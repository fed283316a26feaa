package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Backlog returns the expected time until the waiting work that goes before new work of a
// priority and an access has its slots. It is zero while no member has slots.
func (q *Queue) Backlog(p chervilladder.Priority, a chervilladder.Access) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 {
		return 0
	}
	in := poolPrimary
	if a == chervilladder.AccessRead && q.slots(poolReplica) > 0 {
		in = poolReplica
	}
	slots := q.slots(in)
	if slots == 0 {
		return 0
	}
	var slotTime float64
	for _, c := range q.classes {
		if c.priority <= p {
			slotTime += float64(c.shares[in].waiting) * c.service.estimate()
		}
	}
	return time.Duration(slotTime / float64(slots))
}
