package schedule

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOldServiceTimesAreForgotten checks that samples from a slow period don't
// raise the mean of fast work that follows a pause.
func TestOldServiceTimesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s serviceTime
		for range 20 {
			s.observe(5 * time.Second)
		}
		is.Equal(s.recentMean(time.Now()), 5*time.Second)
		time.Sleep(time.Minute)
		is.Equal(s.recentMean(time.Now()), time.Duration(0)) // too old to refuse work
		for range minSamples {
			s.observe(short)
		}
		is.Equal(s.recentMean(time.Now()), short)
	})
}
