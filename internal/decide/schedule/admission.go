package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// The bounds on the work that waits in one priority, and of one flow.
const (
	maxWaiting     = 2048
	maxFlowWaiting = 512
	maxHeldBytes   = 8 << 20
	maxFlowBytes   = 2 << 20
)

// Hold counts bytes that a waiting ticket holds in memory. It refuses the
// ticket, which then waits no more, if that is more than the queue may hold.
func (q *Queue) Hold(t *Ticket, bytes int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.line == nil {
		return nil
	}
	now := time.Now()
	f := t.line.flow
	if q.held[f.priority]+bytes > maxHeldBytes || f.held+bytes > maxFlowBytes {
		err := t.refusal(chervilladder.ReasonOverload, q.expectedWait(t, t.line.lane.members, f, now))
		q.account(now)
		q.drop(t)
		return err
	}
	t.held += bytes
	f.held += bytes
	q.held[f.priority] += bytes
	return nil
}

// admit decides whether a ticket may wait.
func (q *Queue) admit(t *Ticket, now time.Time) error {
	f := q.flow(t)
	p := t.class.priority
	set := q.runners(t, now)
	wait := q.expectedWait(t, set, f, now)
	if f.waiting >= maxFlowWaiting || q.lengths[p] >= maxWaiting {
		return t.refusal(chervilladder.ReasonOverload, wait)
	}
	if wait+t.class.service.evidence(now) > t.Deadline.Sub(now) {
		return t.refusal(chervilladder.ReasonDeadline, wait)
	}
	o := &f.overloads[q.poolOf(set)]
	if t.Target > 0 && o.refuses(wait, t.waitLimit(now), now) {
		return t.refusal(chervilladder.ReasonOverload, wait)
	}
	return nil
}

// waitLimit returns how long a ticket may wait and still meet its target. It
// is at least half the target, since refusing work makes no slow service fast.
func (t *Ticket) waitLimit(now time.Time) time.Duration {
	return max(t.Target/2, t.Target-t.class.service.evidenceUpper(now))
}

// tooLate reports whether a ticket can't be answered by its deadline even if
// it starts now.
func (t *Ticket) tooLate(now time.Time) bool {
	return now.Add(t.class.service.evidence(now)).After(t.Deadline)
}

// refuse ends the wait of a ticket that has not been granted.
func (q *Queue) refuse(t *Ticket, r chervilladder.Reason) {
	q.drop(t)
	t.refused = t.refusal(r, 0)
	close(t.granted)
}

// refusal is the error of a ticket that is not run. A retry makes sense after
// the work that is ahead of it now, but not before one piece of work is done.
func (t *Ticket) refusal(r chervilladder.Reason, wait time.Duration) error {
	return &chervilladder.NotRunError{
		Database:   t.Database,
		Reason:     r,
		RetryAfter: max(wait, time.Duration(t.class.service.estimate())),
	}
}

// expectedWait estimates how long a ticket waits, from what waits ahead of it
// and from the slot time that its priority has lately been left with. It is
// zero while nothing is known of who may run the ticket.
func (q *Queue) expectedWait(t *Ticket, set memberSet, f *flow, now time.Time) time.Duration {
	if set == 0 || q.startsNow(t, set, now) {
		return 0
	}
	p := q.poolOf(set)
	slots := float64(q.slots(p))
	if slots == 0 {
		return 0
	}
	wait := q.ahead(t.class, f, p) / max(q.leftFor(t.class, p, slots, now), slots/100)
	if floor := slots * float64(t.class.floorPercent) / 100; floor > 0 {
		own := float64(t.class.shares[p].waiting+1) * t.class.service.estimate()
		wait = min(wait, own/floor)
	}
	return time.Duration(wait)
}

// poolOf returns the pool in which work that some members may run is expected
// to run.
func (q *Queue) poolOf(set memberSet) pool {
	if q.serves(set, poolReplica) {
		return poolReplica
	}
	return poolPrimary
}

// startsNow reports whether a member has a free slot for a ticket.
func (q *Queue) startsNow(t *Ticket, set memberSet, now time.Time) bool {
	for i, m := range q.members {
		if set.has(i) && m.admits(t.class, now) && !m.slow {
			return true
		}
	}
	return false
}

// ahead returns the slot time of the work that goes before a new ticket. In
// its own priority that is no more than what fair sharing puts before it: a turn
// of each flow that waits for every ticket of its own flow, and for itself.
func (q *Queue) ahead(own *class, f *flow, p pool) float64 {
	var urgent, same float64
	for _, c := range q.classes {
		time := float64(c.shares[p].waiting) * c.service.estimate()
		switch {
		case c.priority < own.priority:
			urgent += time
		case c.priority == own.priority:
			same += time
		}
	}
	fair := float64((f.waiting+1)*q.active[own.priority]) * own.service.estimate()
	return urgent + min(same, fair) + own.service.estimate()
}

// leftFor returns the slots that the floors of lower classes and the use by
// more urgent ones leave to a class.
func (q *Queue) leftFor(own *class, p pool, slots float64, now time.Time) float64 {
	left := slots
	for _, c := range q.classes {
		s := &c.shares[p]
		switch {
		case c.priority < own.priority:
			left -= s.use
		case c.priority > own.priority && s.waiting > 0:
			left -= slots * float64(c.floorPercent) / 100
		}
	}
	if p == poolPrimary && own.long(now) && slots > keptFree {
		left -= keptFree
	}
	return left
}
