package group

import (
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// usage tracks whether a database is in use. The supervisor's goroutine writes
// it; watchers read idle only.
type usage struct {
	lastPoll blackboard.PollNumber
	lastUsed time.Time
	idle     atomic.Bool
}

// updateUsage determines whether the database is idle: no work requested a poll
// for IdleAfter, and its group is healthy. When the database stops
// being idle, all members are polled at once, so that their statuses are as
// fresh as those of a database in use.
func (s *supervisor) updateUsage(g blackboard.Group, now time.Time) {
	if poll := s.state.Polls.Last(); poll != s.usage.lastPoll || s.usage.lastUsed.IsZero() {
		s.usage.lastPoll, s.usage.lastUsed = poll, now
	}
	idle := now.Sub(s.usage.lastUsed) >= s.IdleAfter && s.healthy(g, now)
	if wasIdle := s.usage.idle.Swap(idle); wasIdle && !idle {
		s.state.Polls.Request()
	}
}

// healthy reports whether all members of a group respond and are in contact
// with each other.
func (s *supervisor) healthy(g blackboard.Group, now time.Time) bool {
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

// heartbeatInterval returns the interval of periodic status requests to a
// member.
func (s *supervisor) heartbeatInterval() time.Duration {
	if s.usage.idle.Load() {
		return s.IdleHeartbeat
	}
	return s.Heartbeat
}

// assessInterval returns the time until the group is assessed again if nothing
// changes.
func (s *supervisor) assessInterval() time.Duration {
	if s.usage.idle.Load() {
		return s.Heartbeat
	}
	return assessEvery
}
