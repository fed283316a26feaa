package shutdown_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
)

const grace = 6 * time.Second

var began = time.Unix(1000, 0)

func TestZeroPlanTakesAllWork(t *testing.T) {
	is := is.New(t)
	var p shutdown.Plan
	is.True(!p.Begun())
	is.True(p.Fits(time.Hour, began))
	is.Equal(p.Bound(began), began)
}

// Work is taken only if it can be answered in time, but while the platform may still send
// callers as usual.
func TestFits(t *testing.T) {
	p := shutdown.New(began, grace)
	for name, c := range map[string]struct {
		after, duration time.Duration
		want            bool
	}{
		"at the signal":                        {0, time.Second, true},
		"long work while callers may come":     {1900 * time.Millisecond, 20 * time.Second, true},
		"long work after that":                 {2 * time.Second, 4 * time.Second, false},
		"work that just fits":                  {4 * time.Second, time.Second, true},
		"work that doesn't":                    {4001 * time.Millisecond, time.Second, false},
		"work of no known length":              {5 * time.Second, 0, true},
		"after the moment to have answered by": {5001 * time.Millisecond, 0, false},
	} {
		if got := p.Fits(c.duration, began.Add(c.after)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestBoundLeavesTimeForTheEnd(t *testing.T) {
	is := is.New(t)
	p := shutdown.New(began, grace)
	is.True(p.Begun())
	is.Equal(p.Bound(began.Add(time.Second)), began.Add(time.Second))
	is.Equal(p.Bound(began.Add(time.Hour)), p.AnswerBy)
	is.True(p.AnswerBy.Before(began.Add(grace)))
	is.True(!p.EndedAt(began).Fits(time.Nanosecond, began))
}
