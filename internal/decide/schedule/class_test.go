package schedule

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOldServiceTimesAreForgotten checks that a slow spell does not make fast
// work look slow after a pause.
func TestOldServiceTimesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s serviceTime
		for range 20 {
			s.observe(5 * time.Second)
		}
		is.Equal(s.evidence(time.Now()), 5*time.Second)
		time.Sleep(time.Minute)
		is.Equal(s.evidence(time.Now()), time.Duration(0)) // too old to refuse work
		for range minSamples {
			s.observe(short)
		}
		is.Equal(s.evidence(time.Now()), short)
	})
}
