package group

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// watch keeps the view of one member current: it requests a status whenever work
// on the database needs a newer one, and otherwise one heartbeat interval after
// the last status request.
func (s *supervisor) watch(ctx context.Context, u chervilladder.Upstream) {
	requested, stop := s.state.Polls.Listen()
	defer stop()
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	var m chervilladder.Member
	defer func() { closeMember(m) }()
	for {
		last := time.Now()
		m = s.refresh(ctx, u, m)
		pause, wake := s.heartbeatInterval(), requested
		if m == nil {
			// A failing member is polled at heartbeats only, so that
			// requests for polls don't open a connection each.
			pause, wake = s.Heartbeat, nil
		}
		heartbeat.Reset(time.Until(last.Add(pause)))
		select {
		case <-wake:
		case <-heartbeat.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh polls a member and records the result. It opens a new connection if
// there is none or if the existing one fails: a failure on an old connection
// doesn't show that the member is down.
func (s *supervisor) refresh(ctx context.Context, u chervilladder.Upstream, m chervilladder.Member) chervilladder.Member {
	poll, now := s.state.Polls.Last(), time.Now()
	if m != nil {
		status, err := s.status(ctx, m)
		if err == nil {
			s.recordStatus(ctx, u.ID, status, poll, now)
			return m
		}
		closeMember(m)
		poll, now = s.state.Polls.Last(), time.Now()
	}
	m, status, err := s.connect(ctx, u)
	if ctx.Err() != nil {
		return m
	}
	if err != nil {
		s.recordFailure(ctx, u.ID, now, err)
		return nil
	}
	s.recordStatus(ctx, u.ID, status, poll, now)
	return m
}

func (s *supervisor) connect(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, chervilladder.MemberStatus, error) {
	dialCtx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	m, err := s.Dial(dialCtx, u)
	if err != nil {
		return nil, chervilladder.MemberStatus{}, err
	}
	status, err := s.status(ctx, m)
	if err != nil {
		closeMember(m)
		return nil, chervilladder.MemberStatus{}, err
	}
	return m, status, nil
}

func (s *supervisor) status(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	return m.Status(ctx)
}

// recordStatus stores the status of a member. It drops a status that was
// requested before the stored one, and one that arrives after the watcher has
// stopped.
func (s *supervisor) recordStatus(ctx context.Context, id chervilladder.UpstreamID, status chervilladder.MemberStatus, poll blackboard.PollNumber, requestedAt time.Time) {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		old := g.Members[id]
		if ctx.Err() != nil || poll < old.Poll || requestedAt.Before(old.RequestedAt) {
			return g
		}
		v := blackboard.MemberView{Status: status, Poll: poll, RequestedAt: requestedAt}
		if status.SinceContact < 0 {
			v.NoContactSince = noContactSince(old, status, requestedAt)
		}
		return g.With(id, v)
	})
	s.samplePosition()
}

// samplePosition adds the primary's position to the history from which the age
// of reads is computed.
func (s *supervisor) samplePosition() {
	g := s.state.Group.Load()
	requestedAt, ok := proof.CoveredUntil(g)
	if !ok {
		return
	}
	sample := freshness.Sample{RequestedAt: requestedAt, Mark: g.Mark()}
	if now := s.state.Positions.Load(); now.Wants(sample) {
		s.state.Positions.Update(func(h freshness.History) freshness.History { return h.With(sample) })
	}
}

// noContactSince returns since when a member has reported that it has had no
// contact with other members in its term.
func noContactSince(old blackboard.MemberView, status chervilladder.MemberStatus, requestedAt time.Time) time.Time {
	if old.NoContactSince.IsZero() || old.Status.Term != status.Term {
		return requestedAt
	}
	return old.NoContactSince
}

// recordFailure records that a member doesn't respond on new connections.
func (s *supervisor) recordFailure(ctx context.Context, id chervilladder.UpstreamID, requestedAt time.Time, err error) {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		v := g.Members[id]
		if ctx.Err() != nil || requestedAt.Before(v.RequestedAt) {
			return g
		}
		v.Err = err
		if v.FailingSince.IsZero() {
			v.FailingSince = requestedAt
		}
		return g.With(id, v)
	})
}

func closeMember(m chervilladder.Member) {
	if m != nil {
		m.Close()
	}
}
