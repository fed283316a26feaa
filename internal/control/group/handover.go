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
	// handoverQuiet is how long nothing may have been written before the
	// ballot, so that what ran is answered.
	handoverQuiet = 250 * time.Millisecond
	// handoverLimit bounds how long writes wait for a replica to catch up.
	handoverLimit = 2 * time.Second
	// handoverRetry is when a change that did not succeed is tried again.
	handoverRetry = 10 * time.Second
)

// handover is a planned change of the primary that is under way: writes wait.
type handover struct {
	primary chervilladder.UpstreamID
	// began is when writes began to wait, and asked a tick taken then.
	began time.Time
	asked blackboard.Tick
	// reached is the position of the primary, unchanged since quiet.
	reached chervilladder.Position
	quiet   time.Time
	// polled is when the members were last asked for their positions.
	polled time.Time
}

// handOver takes the next step of replacing a primary that is leaving, and
// reports whether the group is left to it.
func (s *supervisor) handOver(ctx context.Context, db *chervilladder.Database, g blackboard.Group, now time.Time) bool {
	staying := staying(db)
	if staying[g.Primary] || !g.Open() || !answers(g, staying) {
		s.handover = nil
		return false
	}
	h := s.handover
	switch {
	case now.Before(s.handoverAfter):
		return false
	case h == nil || h.primary != g.Primary:
		s.withhold(g, now)
	case now.Sub(h.began) >= handoverLimit:
		s.log.WithField("primary", g.Primary).Warn("group: no replica catches up with the leaving primary, writes go on")
		s.endHandover(now)
	case h.settled(g, staying, now):
		s.promote(ctx, db, g, promotion.CauseLeaving)
		s.endHandover(time.Now())
	case now.Sub(h.polled) >= assessEvery:
		h.polled = now
		s.state.Evidence.Ask()
	}
	return true
}

// withhold begins a planned change: no work is given to the primary any more.
func (s *supervisor) withhold(g blackboard.Group, now time.Time) {
	s.handover = &handover{primary: g.Primary, began: now, asked: s.state.Evidence.Ask(), quiet: now}
	s.log.WithField("primary", g.Primary).Info("group: primary is leaving, writes wait")
}

func (s *supervisor) endHandover(now time.Time) {
	s.handover = nil
	s.handoverAfter = now.Add(handoverRetry)
}

// settled reports whether a staying replica has received everything and
// nothing was written for a while.
func (h *handover) settled(g blackboard.Group, staying promotion.Staying, now time.Time) bool {
	p, ok := promotion.CaughtUp(g, staying, h.asked)
	if !ok || p != h.reached {
		h.reached, h.quiet = p, now
		return false
	}
	return now.Sub(h.quiet) >= handoverQuiet
}

// withPrimary returns the database with its primary. A primary that is no
// longer configured stays a leaving member until it has been replaced.
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
	wider := *db
	wider.Upstreams = append([]chervilladder.Upstream{s.primary}, db.Upstreams...)
	return &wider
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

// answers reports whether a member answers that could replace the primary.
func answers(g blackboard.Group, staying promotion.Staying) bool {
	for id, v := range g.Members {
		if staying[id] && v.Err == nil && v.Status.Role == chervilladder.RoleReplica && v.Status.LogTerm == g.Term {
			return true
		}
	}
	return false
}
