package burn

import (
	"flag"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed on the command
// line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestBucketsMatchLibrary checks that recording in buckets gives the same
// histogram as recording with the library.
func TestBucketsMatchLibrary(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.NewRelaxed(t)
		var b buckets
		want := newHistogram()
		for _, n := range rapid.SliceOf(rapid.Int64Range(0, int64(3*time.Hour))).Draw(rt, "times") {
			b.record(time.Duration(n))
			is.NoErr(want.RecordValue(valueOf(time.Duration(n))))
		}
		got := newHistogram()
		b.pack().addTo(got)
		gotText, err := got.Encode()
		is.NoErr(err)
		wantText, err := want.Encode()
		is.NoErr(err)
		is.Equal(string(gotText), string(wantText))
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// BenchmarkMemory measures the memory of a class with events in every minute, after
// two hours, as the average of several classes.
func BenchmarkMemory(b *testing.B) {
	const classes = 200
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		all := make([]series, classes)
		for i := range all {
			for minute := range int64(2 * longMinutes) {
				for n := range 100 {
					all[i].record(minute, Event{Target: time.Second, Took: time.Duration(n*n) * 50 * time.Microsecond})
				}
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(all)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/classes, "B/class")
}
