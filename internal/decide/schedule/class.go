package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// class is what the queue knows of one class of work.
type class struct {
	id       chervilladder.ClassID
	priority chervilladder.Priority
	service  serviceTime
}

// serviceTime is the moving mean of how long a class holds a slot.
type serviceTime struct {
	mean    float64
	samples int
}

// unknownService stands for a service time that was not observed yet.
const unknownService = 10 * time.Millisecond

// serviceWeight is the weight of a new sample once there are enough of them.
const serviceWeight = 1.0 / 16

func (s *serviceTime) observe(d time.Duration) {
	s.samples++
	weight := max(serviceWeight, 1/float64(s.samples))
	s.mean += (float64(d) - s.mean) * weight
}

// estimate returns the slot time that one ticket is expected to take.
func (s *serviceTime) estimate() float64 {
	if s.samples == 0 {
		return float64(unknownService)
	}
	return s.mean
}
