// Package shutdown decides which work a VM still takes while it shuts down, and by when
// it must have answered.
//
// The load that it answers: all VMs are stopped together, as planned. Callers then find
// no other VM and come to those that shut down, up to their last moment. What is taken
// too late would end without an answer, so that its outcome is unknown to the caller.
package shutdown

import "time"

// The moments of a shutdown, in parts of the grace period.
const (
	closeIdleAfter = 2
	answerByAfter  = 5
	graceParts     = 6
)

// Plan holds the moments of a shutdown. The zero Plan is that of a VM which doesn't shut
// down.
type Plan struct {
	// CloseIdle is when idle sessions are closed: by then the platform has observed that
	// the VM isn't ready, and sends it callers only if it has no better VM.
	CloseIdle time.Time
	// AnswerBy is when all work must have been answered.
	AnswerBy time.Time
}

// New returns the plan of a shutdown that began at a point in time and must have ended
// after a grace period.
func New(began time.Time, grace time.Duration) Plan {
	return Plan{
		CloseIdle: began.Add(grace * closeIdleAfter / graceParts),
		AnswerBy:  began.Add(grace * answerByAfter / graceParts),
	}
}

// Begun reports whether the VM shuts down.
func (p Plan) Begun() bool { return !p.AnswerBy.IsZero() }

// Fits reports whether work that may take some time is taken now: it can be answered in
// time, or idle sessions aren't closed yet.
func (p Plan) Fits(d time.Duration, now time.Time) bool {
	return !p.Begun() || now.Before(p.CloseIdle) || !now.Add(d).After(p.AnswerBy)
}

// Bound returns the earlier one of a deadline and AnswerBy.
func (p Plan) Bound(deadline time.Time) time.Time {
	if p.Begun() && p.AnswerBy.Before(deadline) {
		return p.AnswerBy
	}
	return deadline
}

// EndedAt returns the plan of a VM that has ended its work at a point in time and takes
// none any more.
func (p Plan) EndedAt(now time.Time) Plan {
	return Plan{CloseIdle: now, AnswerBy: now}
}
