package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// The limits on the waiting tickets, and on the bytes they hold in memory, of one
// priority and of one flow.
const (
	maxWaiting          = 2048
	maxFlowWaiting      = 512
	maxWaitingBytes     = 8 << 20
	maxFlowWaitingBytes = 2 << 20
)

// ReserveMemory counts bytes that a waiting ticket holds in memory. It removes the
// ticket and returns an error if they exceed the limit of its priority or its flow.
func (q *Queue) ReserveMemory(t *Ticket, bytes int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.queue == nil {
		return nil
	}
	now := time.Now()
	f := t.queue.flow
	if q.waitingBytes[f.priority]+bytes > maxWaitingBytes || f.waitingBytes+bytes > maxFlowWaitingBytes {
		err := t.notRun(chervilladder.ReasonOverload, q.expectedWait(t, t.queue.lane.members, f, now))
		q.updateCredits(now)
		q.unqueue(t)
		return err
	}
	t.bytes += bytes
	f.waitingBytes += bytes
	q.waitingBytes[f.priority] += bytes
	return nil
}

// admit returns an error if a ticket may not be queued.
func (q *Queue) admit(t *Ticket, now time.Time) error {
	f := q.flow(t)
	p := t.class.priority
	set := q.eligible(t, now)
	wait := q.expectedWait(t, set, f, now)
	if f.waiting >= maxFlowWaiting || q.lengths[p] >= maxWaiting {
		return t.notRun(chervilladder.ReasonOverload, wait)
	}
	if wait+t.class.service.recentMean(now) > t.Deadline.Sub(now) {
		return t.notRun(chervilladder.ReasonDeadline, wait)
	}
	o := &f.overloads[q.expectedPool(set)]
	if t.Target > 0 && o.recordAndDecide(wait, t.waitLimit(now), now) {
		return t.notRun(chervilladder.ReasonOverload, wait)
	}
	return nil
}

// waitLimit returns how long a ticket may wait and still meet its target. It is
// at least half the target: if the upstream itself is slow, refusing work doesn't
// make it faster.
func (t *Ticket) waitLimit(now time.Time) time.Duration {
	return max(t.Target/2, t.Target-t.class.service.recentUpperBound(now))
}

// cannotMeetDeadline reports whether a ticket would miss its deadline even if it
// started now.
func (t *Ticket) cannotMeetDeadline(now time.Time) bool {
	return now.Add(t.class.service.recentMean(now)).After(t.Deadline)
}

// refuse removes a waiting ticket and closes its Granted channel.
func (q *Queue) refuse(t *Ticket, r chervilladder.Reason) {
	q.unqueue(t)
	t.refused = t.notRun(r, 0)
	close(t.granted)
}

// notRun returns the error of a ticket that is not run. RetryAfter is the given wait,
// since a retry makes sense once the work now ahead of the ticket is done, but at least
// the expected slot time of one ticket.
func (t *Ticket) notRun(r chervilladder.Reason, wait time.Duration) error {
	return &chervilladder.NotRunError{
		Database:   t.Database,
		Reason:     r,
		RetryAfter: max(wait, time.Duration(t.class.service.estimate())),
	}
}

// expectedWait estimates how long a ticket waits: the slot time of the work ahead
// of it, divided by the slots that its class has lately had available. It is zero
// while no member is eligible.
func (q *Queue) expectedWait(t *Ticket, set memberSet, f *flow, now time.Time) time.Duration {
	if set == 0 || q.startsNow(t, set, now) {
		return 0
	}
	p := q.expectedPool(set)
	slots := float64(q.slots(p))
	if slots == 0 {
		return 0
	}
	wait := q.slotTimeAhead(t.class, f, p) / max(q.slotsLeftFor(t.class, p, slots, now), slots/100)
	if reserved := slots * float64(t.class.reservedPercent) / 100; reserved > 0 {
		own := float64(t.class.shares[p].waiting+1) * t.class.service.estimate()
		wait = min(wait, own/reserved)
	}
	return time.Duration(wait)
}

// expectedPool returns the pool in which work with these eligible members is
// expected to run.
func (q *Queue) expectedPool(set memberSet) pool {
	if q.serves(set, poolReplica) {
		return poolReplica
	}
	return poolPrimary
}

// startsNow reports whether an eligible member that is not slow has a free slot.
func (q *Queue) startsNow(t *Ticket, set memberSet, now time.Time) bool {
	for i, m := range q.members {
		if set.has(i) && m.admits(t.class, now) && !m.slow {
			return true
		}
	}
	return false
}

// slotTimeAhead returns the slot time of the work that runs before a new ticket,
// and of the ticket. Within the ticket's own priority, fair queueing bounds that
// work: each waiting flow gets one turn for every waiting ticket of the ticket's
// own flow, and one for the ticket itself.
func (q *Queue) slotTimeAhead(own *class, f *flow, p pool) float64 {
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

// slotsLeftFor returns the slots that remain for a class after the use by more
// urgent classes and the reserved shares of less urgent ones.
func (q *Queue) slotsLeftFor(own *class, p pool, slots float64, now time.Time) float64 {
	left := slots
	for _, c := range q.classes {
		s := &c.shares[p]
		switch {
		case c.priority < own.priority:
			left -= s.use
		case c.priority > own.priority && s.waiting > 0:
			left -= slots * float64(c.reservedPercent) / 100
		}
	}
	if p == poolPrimary && own.long(now) && slots > slotsForShortWork {
		left -= slotsForShortWork
	}
	return left
}
