package evidence

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// The pace of the questions.
const (
	// askEvery is the time between two questions to a member that answers,
	// askFailing to one that doesn't.
	askEvery   = 500 * time.Millisecond
	askFailing = 100 * time.Millisecond
	// answerTimeout bounds the wait for an answer. A full member may let a
	// question wait for some statements.
	answerTimeout = 400 * time.Millisecond
	// soonest is the time between two questions when newer evidence is
	// asked for.
	soonest = 5 * time.Millisecond
)

// prober asks one upstream.
type prober struct {
	k        *Controller
	upstream chervilladder.Registered
	service  chervilladder.ServiceID
	cluster  *blackboard.Cluster
	stop     context.CancelFunc
	// failing is set while the last question had no answer. The next one is
	// asked on a fresh connection.
	failing bool
	// unlisted is set while the upstream's entry is gone.
	unlisted atomic.Bool
}

// serves reports whether the prober asks the upstream as it is registered.
func (p *prober) serves(e blackboard.Enrolled) bool {
	return p.upstream.Address == e.Address && p.upstream.Born.Equal(e.Born) && p.service == e.Service
}

func (p *prober) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wanted := p.cluster.Wanted.Watch()
		select {
		case <-timer.C:
		case <-wanted:
		case <-ctx.Done():
			return
		}
		if p.ask(ctx) {
			timer.Reset(askEvery)
		} else {
			timer.Reset(askFailing)
		}
		if !sleep(ctx, soonest) {
			return
		}
	}
}

// ask asks once and reports whether the member told its status.
func (p *prober) ask(ctx context.Context) bool {
	asked := p.k.c.Clock()
	status, err := p.status(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		p.failing = false
		p.answered(asked, status)
		return true
	}
	var refused *chervilladder.LinkRefusedError
	if errors.As(err, &refused) && (refused.Code == chervilladder.CodeBusy || refused.Code == chervilladder.CodeConnectionLimit) || errors.Is(err, link.ErrFull) {
		p.alive() // too much to do is no sign of death
		return false
	}
	p.failing = true
	p.failed(asked, err)
	if p.unlisted.Load() {
		select {
		case p.k.silent <- p:
		case <-ctx.Done():
		}
	}
	return false
}

// status asks on a connection of the pool.
func (p *prober) status(ctx context.Context) (chervilladder.LinkStatus, error) {
	deadline := time.Now().Add(answerTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pool := p.k.c.Pools.For(p.upstream)
	get := func() (*link.Conn, error) { return pool.Get(ctx, nil) }
	if p.failing {
		get = func() (*link.Conn, error) { return pool.Fresh(ctx) }
	}
	conn, err := get()
	if err != nil {
		return chervilladder.LinkStatus{}, err
	}
	status, err := conn.Status(deadline, chervilladder.Command{Kind: chervilladder.CommandStatus})
	var refused *chervilladder.LinkRefusedError
	if err != nil && !errors.As(err, &refused) {
		conn.Discard()
		pool.DiscardOlder(deadline.Add(-answerTimeout))
		return status, err
	}
	conn.ReleaseAsked()
	return status, err
}

// alive notes a member that has answered and told nothing.
func (p *prober) alive() {
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		s := v.Members[p.upstream.ID]
		s.FailingSince, s.Failures = time.Time{}, 0
		v.Members[p.upstream.ID] = s
	})
}

func (p *prober) failed(asked time.Time, err error) {
	first := false
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		s := v.Members[p.upstream.ID]
		first = s.Failures == 0
		if first {
			s.FailingSince = asked
		}
		s.Failures++
		v.Members[p.upstream.ID] = s
	})
	if first {
		p.log().WithError(err).Warn("evidence: upstream lost")
	}
}

func (p *prober) answered(asked time.Time, status chervilladder.LinkStatus) {
	var seen blackboard.Sighting
	regained := false
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		s := v.Members[p.upstream.ID]
		regained = s.Failures > 0
		s.Status, s.Asked = status, asked
		s.FailingSince, s.Failures = time.Time{}, 0
		v.Members[p.upstream.ID] = s
		markHeld(v, p.upstream.ID, asked)
		markDeparted(v, p.upstream.ID, s)
		markStalled(v, asked)
		seen = v.Members[p.upstream.ID]
	})
	if regained {
		p.log().Info("evidence: upstream regained")
	}
	p.k.sample(p.cluster, seen)
	p.k.c.Pools.Crowd(p.upstream, status.Connections)
}

func (p *prober) log() *logrus.Entry {
	return p.k.c.Log.WithFields(logrus.Fields{"upstream": p.upstream.ID, "service": p.service})
}

// markDeparted notes what a primary's log holds once it has been asked after a
// replica was found gone.
func markDeparted(v *blackboard.ClusterView, id chervilladder.UpstreamID, s blackboard.Sighting) {
	if id == v.Primary && s.Status.Primary && !v.DepartedSince.IsZero() && !s.Asked.Before(v.DepartedSince) {
		v.Departed, v.DepartedSince = v.Departed.Later(s.Status.Received), time.Time{}
	}
}

// markHeld dates the pause of a replica.
func markHeld(v *blackboard.ClusterView, id chervilladder.UpstreamID, now time.Time) {
	s := v.Members[id]
	switch {
	case s.Status.Held == 0:
		s.HeldSince = time.Time{}
	case s.HeldSince.IsZero():
		s.HeldSince = now
	}
	v.Members[id] = s
}

// markStalled dates the time since when no replica has reached a position that
// the primary's log had then.
func markStalled(v *blackboard.ClusterView, now time.Time) {
	p, ok := v.Members[v.Primary]
	if !ok || !p.Status.Primary {
		return
	}
	if !reached(v, p.StalledAt) && !p.StalledSince.IsZero() {
		return
	}
	p.StalledSince, p.StalledAt = time.Time{}, chervilladder.Mark{}
	if !reached(v, p.Status.Received) {
		p.StalledSince, p.StalledAt = now, p.Status.Received
	}
	v.Members[v.Primary] = p
}

// reached reports whether some replica has received a mark, or none is known.
func reached(v *blackboard.ClusterView, m chervilladder.Mark) bool {
	replicas := 0
	for id, s := range v.Members {
		if id == v.Primary || s.Asked.IsZero() {
			continue
		}
		replicas++
		if s.Status.Received.Covers(m) {
			return true
		}
	}
	return replicas == 0
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
