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
	// overrun is by how much a question may outlast its timeout. After a
	// longer one this VM stood still itself.
	overrun = 200 * time.Millisecond
)

// minLag is the lag below which the routes are not looked through for what their reads
// accept.
const minLag = 500 * time.Millisecond

// doubled is how many questions are asked at once, each on a fresh connection,
// after a first one had no answer.
const doubled = 2

// prober asks one upstream.
type prober struct {
	k        *Controller
	upstream chervilladder.Registered
	service  chervilladder.ServiceID
	cluster  *blackboard.Cluster
	stop     context.CancelFunc
	// failing counts the times in a row that the member was asked and did not
	// answer. From the first one on it is asked on fresh connections.
	failing int
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
	questions := 1
	if p.failing == 1 {
		questions = doubled
	}
	status, err := p.statuses(ctx, questions)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		p.failing = 0
		p.answered(asked, status)
		return true
	}
	if tooBusy(err) {
		p.alive()
		return false
	}
	p.failing++
	if p.k.c.Clock().Sub(asked) > answerTimeout+overrun {
		return false
	}
	p.failed(asked, questions, err)
	if p.unlisted.Load() {
		select {
		case p.k.silent <- p:
		case <-ctx.Done():
		}
	}
	return false
}

// statuses asks some questions at once, on fresh connections if the last one had no
// answer, and returns the first answer, or what the last question ran into.
func (p *prober) statuses(ctx context.Context, questions int) (chervilladder.LinkStatus, error) {
	pool := p.k.c.Pools.For(p.upstream)
	get := func(ctx context.Context) (*link.Conn, error) { return pool.Get(ctx, nil) }
	if p.failing > 0 {
		get = pool.Fresh
	}
	if questions == 1 {
		return p.status(ctx, get)
	}
	type told struct {
		status chervilladder.LinkStatus
		err    error
	}
	answers := make(chan told, questions)
	for range questions {
		p.k.running.Go(func() {
			status, err := p.status(ctx, get)
			answers <- told{status, err}
		})
	}
	var last told
	for range questions {
		if last = <-answers; last.err == nil || tooBusy(last.err) {
			break
		}
	}
	return last.status, last.err
}

// tooBusy reports whether a member has too much to do to tell its status, which is
// no sign of death.
func tooBusy(err error) bool {
	var refused *chervilladder.LinkRefusedError
	if errors.As(err, &refused) {
		return refused.Code == chervilladder.CodeBusy || refused.Code == chervilladder.CodeConnectionLimit
	}
	return errors.Is(err, link.ErrFull)
}

// status asks once, on a connection that it gets.
func (p *prober) status(ctx context.Context, get func(context.Context) (*link.Conn, error)) (chervilladder.LinkStatus, error) {
	deadline := time.Now().Add(answerTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := get(ctx)
	if err != nil {
		return chervilladder.LinkStatus{}, err
	}
	status, err := conn.Status(deadline, chervilladder.Command{Kind: chervilladder.CommandStatus})
	var refused *chervilladder.LinkRefusedError
	if err != nil && !errors.As(err, &refused) {
		conn.Discard()
		p.k.c.Pools.For(p.upstream).DiscardOlder(deadline.Add(-answerTimeout))
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

// failed notes that some questions of one moment had no answer.
func (p *prober) failed(asked time.Time, questions int, err error) {
	first := false
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		s := v.Members[p.upstream.ID]
		first = s.Failures == 0
		if first {
			s.FailingSince = asked
		}
		s.Failures += questions
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
		p.k.markLagging(v, p.service, asked)
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

// markLagging dates since when no replica is recent enough for any read.
func (k *Controller) markLagging(v *blackboard.ClusterView, service chervilladder.ServiceID, now time.Time) {
	least, replicas := time.Duration(0), 0
	for id, s := range v.Members {
		if id == v.Primary || s.Asked.IsZero() || s.Leaves() {
			continue
		}
		if replicas == 0 || s.Status.Lag < least {
			least = s.Status.Lag
		}
		replicas++
	}
	routing := k.c.Board.Routing.Load()
	switch {
	case replicas == 0 || least < minLag || routing == nil || least <= routing.MaxAge(service):
		v.LaggingSince = time.Time{}
	case v.LaggingSince.IsZero():
		v.LaggingSince = now
	}
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
