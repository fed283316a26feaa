package freshness

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func mark(p int) chervilladder.Mark {
	return chervilladder.Mark{Term: 1, Position: chervilladder.Position(p)}
}

func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var h History
		_, known := h.Age(mark(9), time.Now())
		is.True(!known) // no sample
		h = h.With(Sample{RequestedAt: time.Now(), Mark: mark(3)})
		time.Sleep(time.Second)
		h = h.With(Sample{RequestedAt: time.Now(), Mark: mark(5)})
		time.Sleep(time.Second)
		_, known = h.Age(mark(2), time.Now())
		is.True(!known) // behind every sample
		age, _ := h.Age(mark(4), time.Now())
		is.Equal(age, 2*time.Second) // lacks what was written after the first sample
		age, _ = h.Age(mark(5), time.Now())
		is.Equal(age, time.Second) // as old as the last sample, even if nothing was written since
		time.Sleep(time.Hour)
		age, _ = h.Age(mark(5), time.Now())
		is.Equal(age, time.Hour+time.Second)
	})
}

// TestAgeIsNeverUnderestimated guards against an age that is less than the time
// since the first write that a replica lacks. Writes and samples of the
// primary's position come at random times.
func TestAgeIsNeverUnderestimated(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(rt *rapid.T) {
		var h History
		var written []time.Time
		now := start
		for range rapid.IntRange(1, 600).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "write") {
				written = append(written, now)
				continue
			}
			h = h.With(Sample{RequestedAt: now, Mark: mark(len(written))})
		}
		if len(h.samples) > maxSamples {
			rt.Fatalf("%d samples", len(h.samples))
		}
		replayed := rapid.IntRange(0, len(written)).Draw(rt, "replayed")
		age, known := h.Age(mark(replayed), now)
		if known && replayed < len(written) && age < now.Sub(written[replayed]) {
			rt.Fatalf("age %v, lacks a write that is %v old", age, now.Sub(written[replayed]))
		}
	})
}
