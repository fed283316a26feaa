package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Occupy gives a ticket a slot of a member at once, even beyond the member's
// capacity: the next statement of an open transaction can neither wait behind
// other work nor run on another member. Release frees the slot. If the queue has
// no such member, Occupy does nothing, and neither does Release then.
func (q *Queue) Occupy(t *Ticket, id chervilladder.UpstreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.updateCredits(now)
	for _, m := range q.members {
		if m.Upstream != id {
			continue
		}
		t.class = q.class(t)
		f := q.flow(t)
		f.running++
		t.charged = t.class.service.estimate()
		f.charge(t.charged)
		m.assignSlot(t, now)
		return
	}
}
