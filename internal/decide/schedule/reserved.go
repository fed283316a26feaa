package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// pool distinguishes the slots of the primary from those of the replicas. A class
// has its reserved share in each pool in which it has work waiting.
type pool uint8

const (
	poolPrimary pool = iota
	poolReplica

	poolCount = 2
)

// creditLimit bounds a class's credit, positive or negative.
const creditLimit = float64(10 * time.Second)

// creditStep bounds the credit that a class needs: a class goes before classes of a
// higher priority once its credit is the expected slot time of one of its tickets, or
// creditStep if that is less.
const creditStep = float64(time.Second)

// share is a class's use of one pool.
type share struct {
	waiting, running int
	// credit is the slot time that the class is owed from its reserved share,
	// negative if it has used more. It accrues only while another class of
	// the same or a higher priority has work waiting: at other times the
	// order by priority gives the class what it needs.
	credit float64
	// use is the moving mean of the slots in use by the class.
	use float64
}

// useWindow is the time over which the use of slots is averaged.
const useWindow = float64(time.Second)

// demand is the number of tickets that wait for each pool, by priority.
type demand [poolCount][chervilladder.PriorityCount]int

// contended reports whether another class of the same or a higher priority has
// tickets waiting for a pool.
func (d *demand) contended(c *class, p pool) bool {
	n := -c.shares[p].waiting
	for priority := range c.priority + 1 {
		n += d[p][priority]
	}
	return n > 0
}

// updateCredits brings the credits and the use of all classes up to date.
func (q *Queue) updateCredits(now time.Time) {
	passed := float64(now.Sub(q.creditsUpdated))
	q.creditsUpdated = now
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
	if c.reservedPercent == 0 || !contended {
		return
	}
	rate := -float64(s.running)
	if s.waiting > 0 {
		rate += slots * float64(c.reservedPercent) / 100
	}
	s.credit = max(-creditLimit, min(creditLimit, s.credit+rate*passed))
}

// owed reports whether the class has enough credit to go before classes of a
// higher priority.
func (c *class) owed(p pool) bool {
	if c.reservedPercent == 0 {
		return false
	}
	return c.shares[p].credit >= min(c.service.estimate(), creditStep)
}

// slots returns how many slots a pool has. A slow member counts with slowSlots at
// most.
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

// addDemand adds n, 1 or -1, to the waiting tickets of a lane's pools.
func (q *Queue) addDemand(l *lane, n int) {
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
