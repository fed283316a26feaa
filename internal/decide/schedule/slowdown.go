package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// slowFactor is how many times slower than the fastest replica a replica has to be
// to count as slow.
const slowFactor = 3

// slowSlots is how many slots of a slow member may be used. Its work gives new
// samples, which show when the member is no longer slow.
const slowSlots = 1

// slowdown is the moving mean of a member's slot times, each divided by the mean
// slot time of the ticket's class.
type slowdown struct {
	mean    float64
	samples int
	last    time.Time
}

func (s *slowdown) observe(took time.Duration, usual float64, now time.Time) {
	if usual <= 0 {
		return
	}
	ratio := float64(took) / usual
	s.samples++
	s.mean += (ratio - s.mean) * max(serviceWeight, 1/float64(s.samples))
	s.last = now
}

// known reports whether there are enough samples and the newest one is recent.
func (s *slowdown) known(now time.Time) bool {
	return s.samples >= minSamples && now.Sub(s.last) <= maxSampleAge
}

// markSlowReplicas marks the replicas that are slow compared with the fastest one.
// A primary has nothing to compare with, and a member without recent samples doesn't
// count as slow.
func (q *Queue) markSlowReplicas(now time.Time) {
	fastest := 0.0
	for _, m := range q.members {
		if !m.Primary && m.slowdown.known(now) && (fastest == 0 || m.slowdown.mean < fastest) {
			fastest = m.slowdown.mean
		}
	}
	for _, m := range q.members {
		m.slow = !m.Primary && m.slowdown.known(now) && m.slowdown.mean > slowFactor*fastest
	}
}

// avoidsSlow reports whether a lane's work may not run on a member because the
// member is slow. The most urgent work avoids it whenever another replica may run
// that work; all other work may use slowSlots of its slots.
func (q *Queue) avoidsSlow(m *member, l *lane) bool {
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
