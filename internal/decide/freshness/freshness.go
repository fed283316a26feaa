// Package freshness decides how old the data of a replica may be.
package freshness

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Sample says that everything that was acknowledged before Asked lies below
// Mark.
type Sample struct {
	Asked time.Time
	Mark  chervilladder.Mark
}

const (
	// spacing is the least time between two samples.
	spacing = 20 * time.Millisecond
	// maxSamples bounds the samples that are kept; older ones are thinned.
	maxSamples = 256
)

// History is samples in order of time. It is immutable; the zero History is
// empty.
type History struct {
	samples []Sample
}

// Wants reports whether a sample adds to the history: it must be later than
// the last one by the spacing, and its mark must not be lower.
func (h History) Wants(s Sample) bool {
	n := len(h.samples)
	if n == 0 {
		return true
	}
	last := h.samples[n-1]
	return s.Asked.Sub(last.Asked) >= spacing && s.Mark.Covers(last.Mark)
}

// With returns the history with one more sample if it wants it.
func (h History) With(s Sample) History {
	if !h.Wants(s) {
		return h
	}
	return History{samples: append(h.thinned(), s)}
}

// thinned returns a copy in which, once the history is full, every second
// sample of the older half is missing.
func (h History) thinned() []Sample {
	kept := make([]Sample, 0, len(h.samples)+1)
	full := len(h.samples) >= maxSamples
	for i, s := range h.samples {
		if full && i < maxSamples/2 && i%2 == 1 {
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// Age returns how old data is at most that was replayed up to a mark. It
// returns false if no sample tells.
func (h History) Age(replayed chervilladder.Mark, now time.Time) (time.Duration, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if s := h.samples[i]; replayed.Covers(s.Mark) {
			return now.Sub(s.Asked), true
		}
	}
	return 0, false
}

// Bound returns the mark that data of at most an age is sure to have reached:
// that of the earliest sample which is not older. It returns false if no
// sample tells.
func (h History) Bound(age time.Duration, now time.Time) (chervilladder.Mark, bool) {
	oldest := now.Add(-age)
	for _, s := range h.samples {
		if !s.Asked.Before(oldest) {
			return s.Mark, true
		}
	}
	return chervilladder.Mark{}, false
}
