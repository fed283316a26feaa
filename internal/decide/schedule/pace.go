package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// slowFactor is how many times slower than the fastest replica a member is
// when it counts as slow.
const slowFactor = 3

// slowSlots is how many slots of a slow member work may use. They keep its
// evidence fresh.
const slowSlots = 1

// pace follows how long a member takes, as a multiple of what is usual for
// the class of each piece of work.
type pace struct {
	mean    float64
	samples int
	last    time.Time
}

func (p *pace) observe(took time.Duration, usual float64, now time.Time) {
	if usual <= 0 {
		return
	}
	ratio := float64(took) / usual
	p.samples++
	p.mean += (ratio - p.mean) * max(serviceWeight, 1/float64(p.samples))
	p.last = now
}

// known reports whether the pace is recent enough to judge by.
func (p *pace) known(now time.Time) bool {
	return p.samples >= minSamples && now.Sub(p.last) <= evidenceAge
}

// judge marks the replicas that are slow beside the fastest one. A primary
// has no peer, and a member without recent evidence is not slow.
func (q *Queue) judge(now time.Time) {
	fastest := 0.0
	for _, m := range q.members {
		if !m.Primary && m.pace.known(now) && (fastest == 0 || m.pace.mean < fastest) {
			fastest = m.pace.mean
		}
	}
	for _, m := range q.members {
		m.slow = !m.Primary && m.pace.known(now) && m.pace.mean > slowFactor*fastest
	}
}

// keptOff reports whether a lane's work is kept off a slow member: the most
// urgent whenever another replica may run it, all other work beyond the slots
// that a slow member keeps.
func (q *Queue) keptOff(m *member, l *lane) bool {
	if !m.slow {
		return false
	}
	if l.class.priority > chervilladder.PriorityUrgent {
		return len(m.running) >= slowSlots
	}
	for i, other := range q.members {
		if l.members.has(i) && !other.Primary && !other.slow && other.Slots > 0 {
			return true
		}
	}
	return false
}
