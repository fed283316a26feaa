package schedule

import (
	"math"
	"time"

	"github.com/chervilladder/chervilladder"
)

// class is the state of one class of work.
type class struct {
	id       chervilladder.ClassID
	priority chervilladder.Priority
	service  serviceTime
	// longUntil is the time until which the class counts as long because one
	// of its tickets held a slot for long.
	longUntil time.Time
	// reservedPercent is the share of a pool's slot time that is reserved for
	// the class.
	reservedPercent int
	shares          [poolCount]share
}

// hasWaiting reports whether tickets of the class wait for any pool.
func (c *class) hasWaiting() bool {
	return c.shares[poolPrimary].waiting+c.shares[poolReplica].waiting > 0
}

// longService is the slot time above which work counts as long.
const longService = 50 * time.Millisecond

// minSamples is how many samples a mean needs before decisions rely on it.
const minSamples = 4

// longRetention determines how long a single long ticket makes its class count as
// long: that many times the ticket's slot time.
const longRetention = 5

// long reports whether work of the class may hold a slot for long. Work of the
// most urgent priority never counts as long, so that it may use every slot; a class
// with fewer than minSamples samples does.
func (c *class) long(now time.Time) bool {
	if c.priority == chervilladder.PriorityUrgent {
		return false
	}
	if c.service.samples < minSamples || c.service.upperBound() > float64(longService) {
		return true
	}
	return now.Before(c.longUntil)
}

// recordLong marks the class as long if held, a ticket's slot time, is long.
func (c *class) recordLong(held time.Duration, now time.Time) {
	if held > longService {
		c.longUntil = later(c.longUntil, now.Add(longRetention*held))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serviceTime is the moving mean of the slot time of a class's tickets.
type serviceTime struct {
	mean float64
	// deviation is the moving mean absolute deviation from the mean.
	deviation float64
	samples   int
	last      time.Time
}

// unknownService is the assumed service time of a class without samples.
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

// upperBound returns a slot time that few samples exceed: the mean plus four
// deviations, as in TCP's retransmission timer.
func (s *serviceTime) upperBound() float64 {
	return s.mean + 4*s.deviation
}

// estimate returns the expected slot time of one ticket.
func (s *serviceTime) estimate() float64 {
	if s.samples == 0 {
		return float64(unknownService)
	}
	return s.mean
}

// maxSampleAge is the age of the newest sample up to which a mean is relied on to
// refuse work. Without a limit, a class whose work is refused because it was slow
// would get no new samples and be refused for ever.
const maxSampleAge = time.Second

// forgetAfter is the time without samples after which the mean is reset.
const forgetAfter = 10 * time.Second

// recentMean returns the mean, or zero if the samples are too few or too old.
func (s *serviceTime) recentMean(now time.Time) time.Duration {
	if s.samples < minSamples || now.Sub(s.last) > maxSampleAge {
		return 0
	}
	return time.Duration(s.mean)
}

// recentUpperBound returns upperBound, or zero if the samples are too few or too
// old.
func (s *serviceTime) recentUpperBound(now time.Time) time.Duration {
	if s.recentMean(now) == 0 {
		return 0
	}
	return time.Duration(s.upperBound())
}
