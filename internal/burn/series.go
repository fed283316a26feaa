package burn

import (
	"slices"
	"sync"
	"sync/atomic"
)

// The windows, in slices of a minute. The newest slice is not full yet.
const (
	shortMinutes = 5
	longMinutes  = 60
)

// slice is what happened in one minute, while events may still arrive.
type slice struct {
	minute  int64
	tallies [tallyCount]atomic.Uint64
	times   buckets
}

func (s *slice) record(e Event) {
	s.tallies[e.tally()].Add(1)
	if e.Result == Answered {
		s.times.record(e.Took)
	}
}

// seal returns what happened, in the least memory.
func (s *slice) seal() sealed {
	return sealed{
		minute: s.minute,
		counts: Counts{
			Good:    s.tallies[tallyGood].Load(),
			Late:    s.tallies[tallyLate].Load(),
			Refused: s.tallies[tallyRefused].Load(),
			Unknown: s.tallies[tallyUnknown].Load(),
			Failed:  s.tallies[tallyFailed].Load(),
		},
		times: s.times.pack(),
	}
}

// sealed is what happened in one minute. It doesn't change.
type sealed struct {
	minute int64
	counts Counts
	times  packed
}

// series is the last hour of one class.
type series struct {
	current atomic.Pointer[slice]

	mu sync.Mutex
	// previous may still get events of goroutines that loaded it while it
	// was current. It is sealed when it is replaced itself; a goroutine that
	// was held up until then loses its event.
	previous *slice
	// past holds the sealed slices, oldest first.
	past []sealed
}

// record counts an event in the slice of its minute. It takes the lock only
// to begin a minute.
func (s *series) record(minute int64, e Event) {
	current := s.current.Load()
	if current == nil || current.minute < minute {
		current = s.begin(minute)
	}
	current.record(e)
}

// begin makes a new slice the current one, unless another goroutine has.
func (s *series) begin(minute int64) *slice {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current != nil && current.minute >= minute {
		return current
	}
	if s.previous != nil {
		s.past = append(s.dropped(minute), s.previous.seal())
	}
	s.previous = current
	next := &slice{minute: minute}
	s.current.Store(next)
	return next
}

// dropped returns the past without the slices before the long window.
func (s *series) dropped(minute int64) []sealed {
	for i, p := range s.past {
		if p.minute > minute-longMinutes {
			return s.past[i:]
		}
	}
	return nil
}

// last returns the slices of the long window that ends with a minute.
func (s *series) last(minute int64) []sealed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = s.dropped(minute)
	last := slices.Clone(s.past)
	for _, open := range []*slice{s.previous, s.current.Load()} {
		if open != nil && open.minute > minute-longMinutes {
			last = append(last, open.seal())
		}
	}
	return last
}
