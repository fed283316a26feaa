// Package schedule decides which work gets which slot of a database, by priority,
// reserved shares and fair queueing.
package schedule

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Queue holds the tickets that wait for the slots of one database. Its lock is
// never held during I/O. The zero Queue is ready for use:
//
//	if err := q.Submit(t); err != nil {
//		return err // nothing was queued
//	}
//	id := <-t.Granted()
//	defer q.Release(t)
type Queue struct {
	mu sync.Mutex
	// capacities is the argument of the last Configure. members also holds
	// removed members until their work has ended.
	capacities []Capacity
	members    []*member
	lanes      []*lane
	classes    []*class
	flows      map[flowKey]*flow
	// virtual is the virtual time of each priority, for fair queueing.
	virtual [chervilladder.PriorityCount]float64
	waiting int
	demand  demand
	// lengths, active and waitingBytes count, by priority, the waiting
	// tickets, the flows they belong to, and the bytes they hold.
	lengths      [chervilladder.PriorityCount]int
	active       [chervilladder.PriorityCount]int
	waitingBytes [chervilladder.PriorityCount]int
	// arrivals counts the submitted tickets, to number them in order of arrival.
	arrivals uint64
	// creditsUpdated is when the credits were last brought up to date.
	creditsUpdated time.Time
}

// flowsBeforeCleanup is the number of flows, idle or not, above which the idle ones are
// deleted.
const flowsBeforeCleanup = 1024

// Submit queues a ticket; it is granted at once if a slot is free.
func (q *Queue) Submit(t *Ticket) error {
	t.granted = make(chan chervilladder.UpstreamID, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	t.arrival = q.arrivals
	t.class = q.class(t)
	now := time.Now()
	q.updateCredits(now)
	if err := q.admit(t, now); err != nil {
		return err
	}
	q.push(t, now)
	q.dispatch()
	return nil
}

// Withdraw cancels a ticket. If it was already granted, its slot is released.
func (q *Queue) Withdraw(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateCredits(time.Now())
	if t.queue != nil {
		q.unqueue(t)
		return
	}
	q.release(t)
}

// Release frees the slot of a granted ticket.
func (q *Queue) Release(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateCredits(time.Now())
	q.release(t)
}

// AllowPrimary lets a waiting read use the primary too. Call it at the ticket's
// ReplicaOnlyUntil.
func (q *Queue) AllowPrimary(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.queue == nil {
		return
	}
	q.requeue(t, time.Now())
	q.dispatch()
}

// Dispatch grants free slots to waiting tickets. Call it after the result of a
// ticket's Readable may have changed.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recheck()
	q.dispatch()
}

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// dispatch grants the free slots, those of replicas first.
func (q *Queue) dispatch() {
	now := time.Now()
	q.updateCredits(now)
	var tried memberSet
	for q.waiting > 0 {
		i := q.freest(tried)
		if i < 0 {
			return
		}
		t := q.next(i, now)
		if t == nil {
			tried = tried.with(i)
			continue
		}
		q.grant(t, q.members[i], now)
	}
}

// freest returns the member with the most free slots that isn't in the set except,
// replicas first and of these the ones nearby, or -1 if none has a free slot.
func (q *Queue) freest(except memberSet) int {
	best := -1
	for i, m := range q.members {
		if m.free() <= 0 || except.has(i) {
			continue
		}
		if best < 0 || m.preferred(q.members[best]) {
			best = i
		}
	}
	return best
}

func (m *member) preferred(other *member) bool {
	if m.Primary != other.Primary {
		return other.Primary
	}
	if m.Distant != other.Distant && (m.near() || other.near()) {
		return m.near()
	}
	return m.free() > other.free()
}

// next returns the ticket that a member is to run next. It refuses tickets that
// can't meet their deadline, and moves a read that the member may no longer serve to
// another lane.
func (q *Queue) next(i int, now time.Time) *Ticket {
	for {
		best := q.best(i, now)
		if best == nil {
			return nil
		}
		t := best.first
		if t.cannotMeetDeadline(now) {
			q.refuse(t, chervilladder.ReasonDeadline)
			continue
		}
		if q.members[i].Primary || t.Readable(q.members[i].Upstream) {
			return t
		}
		q.requeue(t, now)
	}
}

// best returns the flow queue whose first ticket a member is to run next.
func (q *Queue) best(i int, now time.Time) *flowQueue {
	m := q.members[i]
	var best *flowQueue
	for _, l := range q.lanes {
		if !l.members.has(i) || len(l.queues) == 0 || !m.admits(l.class, now) || q.avoidsSlow(m, l) {
			continue
		}
		if best == nil || l.queues[0].precedes(best, m.pool()) {
			best = l.queues[0]
		}
	}
	return best
}

// precedes reports whether a flow queue is served before another one: classes that
// are owed slot time from their reserved share first, then by priority, then in fair
// order.
func (fq *flowQueue) precedes(other *flowQueue, p pool) bool {
	a, b := fq.lane.class, other.lane.class
	if a.owed(p) != b.owed(p) {
		return a.owed(p)
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return fq.startsBefore(other)
}

// grant gives a ticket a slot and charges its flow the expected slot time.
func (q *Queue) grant(t *Ticket, m *member, now time.Time) {
	f := t.queue.flow
	q.unqueue(t)
	m.assignSlot(t, now)
	f.running++
	t.charged = t.class.service.estimate()
	p := t.class.priority
	q.virtual[p] = max(q.virtual[p], f.start)
	f.charge(t.charged)
	t.granted <- m.Upstream
}

// release frees a ticket's slot and grants it to waiting work.
func (q *Queue) release(t *Ticket) {
	if t.member == nil {
		return
	}
	q.settle(t)
	q.dispatch()
}

// settle frees a ticket's slot, records the slot time, and corrects what its flow was
// charged.
func (q *Queue) settle(t *Ticket) {
	now := time.Now()
	took := now.Sub(t.started)
	t.member.slowdown.observe(took, t.class.service.mean, now)
	t.member.freeSlot(t, now)
	t.class.service.observe(took)
	q.markSlowReplicas(now)
	f := q.flow(t)
	f.running--
	f.charge(float64(took) - t.charged)
	q.forgetFlows()
}

// push queues a ticket in the lane of its eligible members.
func (q *Queue) push(t *Ticket, now time.Time) {
	f := q.flow(t)
	p := f.priority
	if f.waiting == 0 {
		q.active[p]++
		f.start = max(f.start, q.virtual[p])
	}
	f.waiting++
	f.waitingBytes += t.bytes
	q.waiting++
	q.lengths[p]++
	q.waitingBytes[p] += t.bytes
	l := q.lane(q.eligible(t, now), t)
	q.addDemand(l, 1)
	f.queueIn(l).add(t)
}

// unqueue removes a waiting ticket from the queue; what becomes of it is up to the
// caller.
func (q *Queue) unqueue(t *Ticket) {
	f := t.queue.flow
	p := f.priority
	f.waiting--
	f.waitingBytes -= t.bytes
	q.waiting--
	q.lengths[p]--
	q.waitingBytes[p] -= t.bytes
	if f.waiting == 0 {
		q.active[p]--
	}
	q.addDemand(t.queue.lane, -1)
	t.queue.unqueue(t)
}

// requeue moves a ticket to another lane if its eligible members have changed.
func (q *Queue) requeue(t *Ticket, now time.Time) {
	if q.eligible(t, now) == t.queue.lane.members {
		return
	}
	q.unqueue(t)
	q.push(t, now)
}

// eligible returns the members that may run a ticket now.
func (q *Queue) eligible(t *Ticket, now time.Time) memberSet {
	var set memberSet
	onReplica := t.Access == chervilladder.AccessRead
	onPrimary := !onReplica || !now.Before(t.ReplicaOnlyUntil)
	for i, m := range q.members {
		if m.Primary && onPrimary || !m.Primary && onReplica && t.Readable(m.Upstream) {
			set = set.with(i)
		}
	}
	return set
}

func (q *Queue) lane(members memberSet, t *Ticket) *lane {
	for _, l := range q.lanes {
		if l.members == members && l.class == t.class && l.access == t.Access {
			return l
		}
	}
	l := &lane{members: members, class: t.class, access: t.Access}
	q.lanes = append(q.lanes, l)
	return l
}

// class returns the class of a ticket. A changed priority takes effect once no
// ticket of the class waits.
func (q *Queue) class(t *Ticket) *class {
	i := slices.IndexFunc(q.classes, func(c *class) bool { return c.id == t.Class })
	if i < 0 {
		i = len(q.classes)
		q.classes = append(q.classes, &class{id: t.Class})
	}
	c := q.classes[i]
	c.reservedPercent = t.FloorPercent
	if !c.hasWaiting() {
		c.priority = t.Priority
	}
	return c
}

func (q *Queue) flow(t *Ticket) *flow {
	key := t.flowKey()
	if f := q.flows[key]; f != nil {
		f.updatePriority(t.class.priority, q.virtual[t.class.priority])
		return f
	}
	if q.flows == nil {
		q.flows = make(map[flowKey]*flow)
	}
	f := &flow{key: key, priority: t.class.priority, start: q.virtual[t.class.priority]}
	q.flows[key] = f
	return f
}

// forgetFlows deletes the idle flows if there are more than flowsBeforeCleanup flows.
func (q *Queue) forgetFlows() {
	if len(q.flows) <= flowsBeforeCleanup {
		return
	}
	for key, f := range q.flows {
		if f.idle(q.virtual[f.priority]) {
			delete(q.flows, key)
		}
	}
}
