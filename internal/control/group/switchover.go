package group

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/promotion"
)

// The times of a planned change of the primary.
const (
	// switchoverQuiet is how long the primary's position must have been
	// unchanged before the promotion starts, so that running work has been
	// answered.
	switchoverQuiet = 250 * time.Millisecond
	// switchoverLimit bounds how long writes wait for a replica to catch up.
	switchoverLimit = 2 * time.Second
	// switchoverRetry is the pause before a failed change is tried again.
	switchoverRetry = 10 * time.Second
)

// switchover is a planned change of the primary that is in progress: writes wait.
type switchover struct {
	primary chervilladder.UpstreamID
	// started is when writes began to wait, startPoll the poll sequence
	// number taken then.
	started   time.Time
	startPoll blackboard.PollNumber
	// position is the primary's position with which a staying replica had
	// caught up at the last check, zero if none had; unchangedSince is when
	// it last changed or none had caught up.
	position       chervilladder.Position
	unchangedSince time.Time
	// lastPoll is when the members' positions were last polled.
	lastPoll time.Time
}

// stepSwitchover takes the next step of replacing a primary that is leaving. It
// reports whether a switchover is in progress, in which case the caller takes no
// other step.
func (s *supervisor) stepSwitchover(ctx context.Context, db *chervilladder.Database, g blackboard.Group, now time.Time) bool {
	staying := staying(db)
	if staying[g.Primary] || !g.Open() || !hasSuccessor(g, staying) {
		s.switchover = nil
		return false
	}
	sw := s.switchover
	switch {
	case now.Before(s.switchoverAfter):
		return false
	case sw == nil || sw.primary != g.Primary:
		s.startSwitchover(g, now)
	case now.Sub(sw.started) >= switchoverLimit:
		s.log.WithField("primary", g.Primary).Warn("group: no replica caught up with the leaving primary in time; writes resume")
		s.endSwitchover(now)
	case sw.caughtUp(g, staying, now):
		s.promote(ctx, db, g, promotion.CauseLeaving)
		s.endSwitchover(time.Now())
	case now.Sub(sw.lastPoll) >= assessEvery:
		sw.lastPoll = now
		s.state.Polls.Request()
	}
	return true
}

// startSwitchover starts a planned change: the primary gets no more work.
func (s *supervisor) startSwitchover(g blackboard.Group, now time.Time) {
	s.switchover = &switchover{primary: g.Primary, started: now, startPoll: s.state.Polls.Request(), unchangedSince: now}
	s.log.WithField("primary", g.Primary).Info("group: primary is leaving; writes wait for the new primary")
}

func (s *supervisor) endSwitchover(now time.Time) {
	s.switchover = nil
	s.switchoverAfter = now.Add(switchoverRetry)
}

// caughtUp reports whether a staying replica has received everything and
// nothing was written for switchoverQuiet.
func (sw *switchover) caughtUp(g blackboard.Group, staying promotion.Staying, now time.Time) bool {
	p, ok := promotion.CaughtUp(g, staying, sw.startPoll)
	if !ok || p != sw.position {
		sw.position, sw.unchangedSince = p, now
		return false
	}
	return now.Sub(sw.unchangedSince) >= switchoverQuiet
}

// withPrimary returns the database with its current primary. A primary that is
// no longer configured is kept as a leaving member until it has been replaced.
func (s *supervisor) withPrimary(db *chervilladder.Database) *chervilladder.Database {
	primary := s.state.Group.Load().Primary
	for _, u := range db.Upstreams {
		if u.ID == primary {
			s.primary = u
			return db
		}
	}
	if primary == "" || s.primary.ID != primary {
		return db
	}
	s.primary.Leaving = true
	extended := *db
	extended.Upstreams = append([]chervilladder.Upstream{s.primary}, db.Upstreams...)
	return &extended
}

// staying returns the members of a database that aren't leaving.
func staying(db *chervilladder.Database) promotion.Staying {
	set := make(promotion.Staying, len(db.Upstreams))
	for _, u := range db.Upstreams {
		if !u.Leaving {
			set[u.ID] = true
		}
	}
	return set
}

// hasSuccessor reports whether a responding replica could replace the primary.
func hasSuccessor(g blackboard.Group, staying promotion.Staying) bool {
	for id, v := range g.Members {
		if staying[id] && v.Err == nil && v.Status.Role == chervilladder.RoleReplica && v.Status.LogTerm == g.Term {
			return true
		}
	}
	return false
}
