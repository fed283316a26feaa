package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// pool tells a primary's slots from those of replicas: a class has its floor
// in each pool in which it has work waiting.
type pool uint8

// The two pools.
const (
	poolPrimary pool = iota
	poolReplica

	poolCount = 2
)

// creditLimit bounds the slot time that a class may be owed, or have had in
// advance.
const creditLimit = float64(10 * time.Second)

// creditStep bounds what a class has to be owed before its floor is served.
const creditStep = float64(time.Second)

// share is a class's use of one pool.
type share struct {
	waiting, running int
	// credit is the slot time that the class's floor owes it. It changes
	// only while as urgent work of another class waits too: at other
	// times the order by priority leaves the class what it needs.
	credit float64
	// use is the moving mean of the slots that the class runs on.
	use float64
}

// useWindow is over what time the use of slots is averaged.
const useWindow = float64(time.Second)

// demand is how many tickets wait for a pool, by priority.
type demand [poolCount][chervilladder.PriorityCount]int

// contended reports whether work of another class waits that goes before a
// class's own.
func (d *demand) contended(c *class, p pool) bool {
	n := -c.shares[p].waiting
	for priority := range c.priority + 1 {
		n += d[p][priority]
	}
	return n > 0
}

// account brings the credits of all classes up to date.
func (q *Queue) account(now time.Time) {
	passed := float64(now.Sub(q.accounted))
	q.accounted = now
	if passed <= 0 {
		return
	}
	for p := range pool(poolCount) {
		slots := float64(q.slots(p))
		for _, c := range q.classes {
			c.accrue(p, slots, passed, q.demand.contended(c, p))
		}
	}
}

func (c *class) accrue(p pool, slots, passed float64, contended bool) {
	s := &c.shares[p]
	s.use += (float64(s.running) - s.use) * passed / (useWindow + passed)
	if s.waiting == 0 {
		s.credit = min(s.credit, 0)
	}
	if c.floorPercent == 0 || !contended {
		return
	}
	rate := -float64(s.running)
	if s.waiting > 0 {
		rate += slots * float64(c.floorPercent) / 100
	}
	s.credit = max(-creditLimit, min(creditLimit, s.credit+rate*passed))
}

// owed reports whether the class's floor goes before the order by priority.
func (c *class) owed(p pool) bool {
	if c.floorPercent == 0 {
		return false
	}
	return c.shares[p].credit >= min(c.service.estimate(), creditStep)
}

// slots returns how many slots a pool has, of which a slow member keeps few.
func (q *Queue) slots(p pool) int {
	n := 0
	for _, m := range q.members {
		switch {
		case m.pool() != p:
		case m.slow:
			n += min(m.Slots, slowSlots)
		default:
			n += m.Slots
		}
	}
	return n
}

func (m *member) pool() pool {
	if m.Primary {
		return poolPrimary
	}
	return poolReplica
}

// count adds a ticket of a lane to the demand, or takes it out.
func (q *Queue) count(l *lane, n int) {
	for p := range pool(poolCount) {
		if !q.serves(l.members, p) {
			continue
		}
		l.class.shares[p].waiting += n
		q.demand[p][l.class.priority] += n
	}
}

func (q *Queue) serves(set memberSet, p pool) bool {
	for i, m := range q.members {
		if set.has(i) && m.pool() == p {
			return true
		}
	}
	return false
}
