// Package schedule decides which work gets which slot of a database.
package schedule

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Queue holds the work that waits for the slots of one database. Its lock is
// never held during I/O. The zero Queue is ready for use:
//
//	if err := q.Submit(t); err != nil {
//		return err // nothing was queued
//	}
//	id := <-t.Granted()
//	defer q.Release(t)
type Queue struct {
	mu sync.Mutex
	// capacities is what was last configured; members holds those that have
	// left, too, until their work has ended.
	capacities []Capacity
	members    []*member
	lanes      []*lane
	classes    []*class
	flows      map[flowKey]*flow
	// virtual is the virtual time of each priority.
	virtual [chervilladder.PriorityCount]float64
	waiting int
	demand  demand
	// lengths, active and held count, by priority, the tickets that wait,
	// the flows that they are of, and the bytes that they hold.
	lengths [chervilladder.PriorityCount]int
	active  [chervilladder.PriorityCount]int
	held    [chervilladder.PriorityCount]int
	numbers uint64
	// accounted is up to when the credits of floors are brought up.
	accounted time.Time
}

// maxIdleFlows is how many flows are remembered before idle ones are
// forgotten.
const maxIdleFlows = 1024

// Submit queues a ticket; it is granted at once if a slot is free.
func (q *Queue) Submit(t *Ticket) error {
	t.granted = make(chan chervilladder.UpstreamID, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.numbers++
	t.number = q.numbers
	t.class = q.class(t)
	now := time.Now()
	q.account(now)
	if err := q.admit(t, now); err != nil {
		return err
	}
	q.push(t, now)
	q.dispatch()
	return nil
}

// Withdraw takes a ticket back. If it was granted meanwhile, its slot is
// released.
func (q *Queue) Withdraw(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account(time.Now())
	if t.line != nil {
		q.drop(t)
		return
	}
	q.release(t)
}

// Release gives the slot of a granted ticket back.
func (q *Queue) Release(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account(time.Now())
	q.release(t)
}

// Fallback lets a read use the primary once its wait for a replica is over.
func (q *Queue) Fallback(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.line == nil {
		return
	}
	q.move(t, time.Now())
	q.dispatch()
}

// Dispatch grants what can be granted. Call it after the evidence changed by
// which tickets are readable.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recheck()
	q.dispatch()
}

// Waiting returns how many tickets wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// dispatch fills the free slots, those of replicas first.
func (q *Queue) dispatch() {
	now := time.Now()
	q.account(now)
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

// freest returns the member with the most free slots, replicas first, or -1.
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
	return m.free() > other.free()
}

// next returns the ticket that a member is to run next. A read that the
// member may not serve any more is moved to another lane.
func (q *Queue) next(i int, now time.Time) *Ticket {
	for {
		best := q.best(i, now)
		if best == nil {
			return nil
		}
		t := best.first
		if t.tooLate(now) {
			q.refuse(t, chervilladder.ReasonDeadline)
			continue
		}
		if q.members[i].Primary || t.Readable(q.members[i].Upstream) {
			return t
		}
		q.move(t, now)
	}
}

// best returns the line that a member serves next.
func (q *Queue) best(i int, now time.Time) *line {
	m := q.members[i]
	var best *line
	for _, l := range q.lanes {
		if !l.members.has(i) || len(l.lines) == 0 || !m.admits(l.class, now) || q.keptOff(m, l) {
			continue
		}
		if best == nil || l.lines[0].ahead(best, m.pool()) {
			best = l.lines[0]
		}
	}
	return best
}

// ahead reports whether a line goes before another one: floors that are owed
// first, then by priority, then in fair order.
func (l *line) ahead(other *line, p pool) bool {
	a, b := l.lane.class, other.lane.class
	if a.owed(p) != b.owed(p) {
		return a.owed(p)
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return l.before(other)
}

// grant gives a ticket a slot and charges its flow what that is expected to
// cost.
func (q *Queue) grant(t *Ticket, m *member, now time.Time) {
	f := t.line.flow
	q.drop(t)
	m.take(t, now)
	f.running++
	t.charged = t.class.service.estimate()
	p := t.class.priority
	q.virtual[p] = max(q.virtual[p], f.start)
	f.charge(t.charged)
	t.granted <- m.Upstream
}

// release ends the use of a slot and grants it to other work.
func (q *Queue) release(t *Ticket) {
	if t.member == nil {
		return
	}
	q.settle(t)
	q.dispatch()
}

// settle takes a ticket off its slot and corrects what was charged for it.
func (q *Queue) settle(t *Ticket) {
	now := time.Now()
	took := now.Sub(t.since)
	t.member.pace.observe(took, t.class.service.mean, now)
	t.member.giveBack(t, now)
	t.class.service.observe(took)
	q.judge(now)
	f := q.flow(t)
	f.running--
	f.charge(float64(took) - t.charged)
	q.forgetFlows()
}

// push queues a ticket where the members that may run it look.
func (q *Queue) push(t *Ticket, now time.Time) {
	f := q.flow(t)
	p := f.priority
	if f.waiting == 0 {
		q.active[p]++
		f.start = max(f.start, q.virtual[p])
	}
	f.waiting++
	f.held += t.held
	q.waiting++
	q.lengths[p]++
	q.held[p] += t.held
	l := q.lane(q.runners(t, now), t)
	q.count(l, 1)
	f.line(l).add(t)
}

// drop takes a waiting ticket out.
func (q *Queue) drop(t *Ticket) {
	f := t.line.flow
	p := f.priority
	f.waiting--
	f.held -= t.held
	q.waiting--
	q.lengths[p]--
	q.held[p] -= t.held
	if f.waiting == 0 {
		q.active[p]--
	}
	q.count(t.line.lane, -1)
	t.line.drop(t)
}

// move queues a ticket again after a change of who may run it.
func (q *Queue) move(t *Ticket, now time.Time) {
	if q.runners(t, now) == t.line.lane.members {
		return
	}
	q.drop(t)
	q.push(t, now)
}

// runners returns the members that may run a ticket now.
func (q *Queue) runners(t *Ticket, now time.Time) memberSet {
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

// class returns the class of a ticket. A priority that was published anew
// holds once nothing of the class waits.
func (q *Queue) class(t *Ticket) *class {
	i := slices.IndexFunc(q.classes, func(c *class) bool { return c.id == t.Class })
	if i < 0 {
		i = len(q.classes)
		q.classes = append(q.classes, &class{id: t.Class})
	}
	c := q.classes[i]
	c.floorPercent = t.FloorPercent
	if !c.waits() {
		c.priority = t.Priority
	}
	return c
}

func (q *Queue) flow(t *Ticket) *flow {
	key := t.flowKey()
	if f := q.flows[key]; f != nil {
		f.follow(t.class.priority, q.virtual[t.class.priority])
		return f
	}
	if q.flows == nil {
		q.flows = make(map[flowKey]*flow)
	}
	f := &flow{key: key, priority: t.class.priority, start: q.virtual[t.class.priority]}
	q.flows[key] = f
	return f
}

// forgetFlows bounds the flows that are kept though they have no work.
func (q *Queue) forgetFlows() {
	if len(q.flows) <= maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if f.idle(q.virtual[f.priority]) {
			delete(q.flows, key)
		}
	}
}
