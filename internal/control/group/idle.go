package group

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// use tells whether a database is in use. Its own goroutine writes all but
// idle, which watchers read.
type use struct {
	tick blackboard.Tick
	at   time.Time
	idle atomic.Bool
}

// noteUse judges whether the database is idle: no tick of evidence was taken
// for a while, and nothing is wrong with its group. When that ends, all
// members are asked at once, so that the evidence is as fresh as in use.
func (s *supervisor) noteUse(g blackboard.Group, now time.Time) {
	if tick := s.state.Evidence.Now(); tick != s.use.tick || s.use.at.IsZero() {
		s.use.tick, s.use.at = tick, now
	}
	idle := now.Sub(s.use.at) >= s.IdleAfter && s.inOrder(g, now)
	if wasIdle := s.use.idle.Swap(idle); wasIdle && !idle {
		s.state.Evidence.Ask()
	}
}

// inOrder reports whether all members of a group answer and hear from each
// other.
func (s *supervisor) inOrder(g blackboard.Group, now time.Time) bool {
	if !g.Open() || len(g.Members) < g.Size {
		return false
	}
	for _, v := range g.Members {
		if v.Err != nil || v.ContactAge(now) >= s.Heartbeat {
			return false
		}
	}
	return true
}

// heartbeat returns the time until a member is asked again unasked.
func (s *supervisor) heartbeat() time.Duration {
	if s.use.idle.Load() {
		return s.IdleHeartbeat
	}
	return s.Heartbeat
}

// assessPause returns the time until the evidence is judged again if nothing
// changes.
func (s *supervisor) assessPause() time.Duration {
	if s.use.idle.Load() {
		return s.Heartbeat
	}
	return assessEvery
}
