// Package freshness bounds the age of a replica's data.
package freshness

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Sample records that every commit acknowledged before RequestedAt is covered
// by Mark.
type Sample struct {
	RequestedAt time.Time
	Mark        chervilladder.Mark
}

const (
	// spacing is the least time between two samples.
	spacing = 20 * time.Millisecond
	// maxSamples bounds the samples that are kept; older ones are thinned out.
	maxSamples = 256
)

// History is a list of samples in order of time. It is immutable; the zero
// History is empty.
type History struct {
	samples []Sample
}

// Wants reports whether With would add a sample: it must be at least spacing
// later than the last one, and its mark must not be lower.
func (h History) Wants(s Sample) bool {
	n := len(h.samples)
	if n == 0 {
		return true
	}
	last := h.samples[n-1]
	return s.RequestedAt.Sub(last.RequestedAt) >= spacing && s.Mark.Covers(last.Mark)
}

// With returns the history with a sample added if Wants accepts it.
func (h History) With(s Sample) History {
	if !h.Wants(s) {
		return h
	}
	return History{samples: append(h.thinned(), s)}
}

// thinned returns a copy of the samples. Once the history is full, the copy
// lacks every second sample of the older half.
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

// Age returns the greatest age of data that was replayed up to a mark. It
// returns false if the mark covers no sample.
func (h History) Age(replayed chervilladder.Mark, now time.Time) (time.Duration, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if s := h.samples[i]; replayed.Covers(s.Mark) {
			return now.Sub(s.RequestedAt), true
		}
	}
	return 0, false
}

// Bound returns the mark that data must have reached for it to be no older than
// an age: the mark of the earliest sample that is no older. It returns false if
// all samples are older.
func (h History) Bound(age time.Duration, now time.Time) (chervilladder.Mark, bool) {
	oldest := now.Add(-age)
	for _, s := range h.samples {
		if !s.RequestedAt.Before(oldest) {
			return s.Mark, true
		}
	}
	return chervilladder.Mark{}, false
}
