package schedule

import (
	"math"
	"time"

	"github.com/chervilladder/chervilladder"
)

// class is what the queue knows of one class of work.
type class struct {
	id       chervilladder.ClassID
	priority chervilladder.Priority
	service  serviceTime
	// longUntil is until when a long piece of work makes the class long.
	longUntil time.Time
	// floorPercent is the share of a pool's slot time that the class keeps.
	floorPercent int
	shares       [poolCount]share
}

// waits reports whether work of the class waits in some pool.
func (c *class) waits() bool {
	return c.shares[poolPrimary].waiting+c.shares[poolReplica].waiting > 0
}

// longService is from what slot time on work counts as long.
const longService = 50 * time.Millisecond

// minSamples is how many samples make evidence.
const minSamples = 4

// longMemory is for how many times the slot time of a single long piece of
// work its class stays long.
const longMemory = 5

// long reports whether work of the class may hold a slot for long. Work of
// the most urgent priority is never held back; a class of which little was
// observed counts as long.
func (c *class) long(now time.Time) bool {
	if c.priority == chervilladder.PriorityUrgent {
		return false
	}
	if c.service.samples < minSamples || c.service.upper() > float64(longService) {
		return true
	}
	return now.Before(c.longUntil)
}

// noteLong records that work of the class has held a slot for long.
func (c *class) noteLong(held time.Duration, now time.Time) {
	if held > longService {
		c.longUntil = later(c.longUntil, now.Add(longMemory*held))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serviceTime is the moving mean of how long a class holds a slot.
type serviceTime struct {
	mean float64
	// deviation is the moving mean of how far samples are from the mean.
	deviation float64
	samples   int
	last      time.Time
}

// unknownService stands for a service time that was not observed yet.
const unknownService = 10 * time.Millisecond

// serviceWeight is the weight of a new sample once there are enough of them.
const serviceWeight = 1.0 / 16

func (s *serviceTime) observe(d time.Duration) {
	now := time.Now()
	if now.Sub(s.last) > forgetAfter {
		*s = serviceTime{}
	}
	s.samples++
	s.last = now
	weight := max(serviceWeight, 1/float64(s.samples))
	off := math.Abs(float64(d) - s.mean)
	s.mean += (float64(d) - s.mean) * weight
	if s.samples > 1 {
		s.deviation += (off - s.deviation) * weight
	}
}

// upper returns what few samples exceed, by the rule of TCP's retransmission
// timer.
func (s *serviceTime) upper() float64 {
	return s.mean + 4*s.deviation
}

// estimate returns the slot time that one ticket is expected to take.
func (s *serviceTime) estimate() float64 {
	if s.samples == 0 {
		return float64(unknownService)
	}
	return s.mean
}

// evidenceAge is how long a service time is relied on to refuse work. Without
// an end, work that is refused for a slow service would never show that the
// service is fast again.
const evidenceAge = time.Second

// forgetAfter is after how long without samples the mean starts anew.
const forgetAfter = 10 * time.Second

// evidence returns the mean of recent samples, or zero if there are too few.
func (s *serviceTime) evidence(now time.Time) time.Duration {
	if s.samples < minSamples || now.Sub(s.last) > evidenceAge {
		return 0
	}
	return time.Duration(s.mean)
}

// evidenceUpper returns what few recent samples exceed, or zero if there are
// too few.
func (s *serviceTime) evidenceUpper(now time.Time) time.Duration {
	if s.evidence(now) == 0 {
		return 0
	}
	return time.Duration(s.upper())
}
