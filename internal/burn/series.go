package burn

import (
	"slices"
	"sync"
	"sync/atomic"
)

// The lengths of the windows, in minutes. The newest minute is incomplete.
const (
	shortMinutes = 5
	longMinutes  = 60
)

// minuteRecorder counts the events of one minute. It is safe for concurrent use.
type minuteRecorder struct {
	minute   int64
	outcomes [outcomeCount]atomic.Uint64
	times    buckets
}

func (s *minuteRecorder) record(e Event) {
	s.outcomes[e.outcome()].Add(1)
	if e.Result == Answered {
		s.times.record(e.Took)
	}
}

// summarize returns the counts so far in compact form.
func (s *minuteRecorder) summarize() minuteSummary {
	return minuteSummary{
		minute: s.minute,
		counts: Counts{
			Good:    s.outcomes[outcomeGood].Load(),
			Late:    s.outcomes[outcomeLate].Load(),
			Refused: s.outcomes[outcomeRefused].Load(),
			Unknown: s.outcomes[outcomeUnknown].Load(),
			Failed:  s.outcomes[outcomeFailed].Load(),
		},
		times: s.times.pack(),
	}
}

// minuteSummary holds the events of one minute in compact form. It is immutable.
type minuteSummary struct {
	minute int64
	counts Counts
	times  packedCounts
}

// series holds the events of one class in the last hour.
type series struct {
	current atomic.Pointer[minuteRecorder]

	mu sync.Mutex
	// previous may still receive events from goroutines that loaded it while
	// it was current. The next beginMinute summarizes it; events recorded
	// after that are lost.
	previous *minuteRecorder
	// summaries holds the minutes before previous, oldest first.
	summaries []minuteSummary
}

// record counts an event in its minute, or in a later one that another goroutine
// has begun. It takes the lock only to begin a new minute.
func (s *series) record(minute int64, e Event) {
	current := s.current.Load()
	if current == nil || current.minute < minute {
		current = s.beginMinute(minute)
	}
	current.record(e)
}

// beginMinute replaces the current minute, unless another goroutine has already
// done so.
func (s *series) beginMinute(minute int64) *minuteRecorder {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current != nil && current.minute >= minute {
		return current
	}
	if s.previous != nil {
		s.summaries = append(s.withinHour(minute), s.previous.summarize())
	}
	s.previous = current
	next := &minuteRecorder{minute: minute}
	s.current.Store(next)
	return next
}

// withinHour returns the summaries without those that are older than the long
// window.
func (s *series) withinHour(minute int64) []minuteSummary {
	for i, p := range s.summaries {
		if p.minute > minute-longMinutes {
			return s.summaries[i:]
		}
	}
	return nil
}

// lastHour returns the minutes of the long window that ends with the given one.
func (s *series) lastHour(minute int64) []minuteSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summaries = s.withinHour(minute)
	last := slices.Clone(s.summaries)
	for _, recorder := range []*minuteRecorder{s.previous, s.current.Load()} {
		if recorder != nil && recorder.minute > minute-longMinutes {
			last = append(last, recorder.summarize())
		}
	}
	return last
}
