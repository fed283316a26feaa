package statuspoll

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

const (
	// pollInterval is the time between two polls of a member that responds,
	// failingPollInterval of one that doesn't.
	pollInterval        = 500 * time.Millisecond
	failingPollInterval = 100 * time.Millisecond
	// statusTimeout bounds the wait for a response. At a full member a status request
	// may have to wait for some statements.
	statusTimeout = 400 * time.Millisecond
	// minPollInterval is the time between two polls when newer observations are
	// requested, minPollIntervalAlone when they are requested of one member: a commit
	// waits for them.
	minPollInterval      = 5 * time.Millisecond
	minPollIntervalAlone = time.Millisecond
	// poolTimeout bounds the wait for a connection of the pool. The rest of statusTimeout
	// is left for a new one.
	poolTimeout = 150 * time.Millisecond
	// overrun is by how much a poll may exceed its timeout. If it takes longer, this VM
	// itself was suspended, and no failure is recorded.
	overrun = 200 * time.Millisecond
)

// minLag is the lag below which a replica counts as recent enough for all routes, so that
// the routes needn't be searched for the age that their reads accept.
const minLag = 500 * time.Millisecond

// parallelRequests is how many status requests are sent in parallel, each on a fresh
// connection, after a first one got no response.
const parallelRequests = 2

// prober polls one upstream.
type prober struct {
	k        *Controller
	upstream chervilladder.Registered
	service  chervilladder.ServiceID
	cluster  *blackboard.Cluster
	stop     context.CancelFunc
	// failing counts the consecutive polls without a response. After the first one,
	// polls use fresh connections.
	failing int
	// deregistered is set while the upstream's entry is gone.
	deregistered atomic.Bool
}

// matches reports whether the prober polls the upstream as it is registered now.
func (p *prober) matches(e blackboard.KnownUpstream) bool {
	return p.upstream.Address == e.Address && p.upstream.Born.Equal(e.Born) && p.service == e.Service
}

func (p *prober) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	alone := p.cluster.StatusTriggers.Get(p.upstream.ID)
	for {
		triggered, triggeredAlone := p.cluster.PollTrigger.Watch(), alone.Watch()
		pause := minPollInterval
		select {
		case <-timer.C:
		case <-triggered:
		case <-triggeredAlone:
			pause = minPollIntervalAlone
		case <-ctx.Done():
			return
		}
		if p.poll(ctx) {
			timer.Reset(pollInterval)
		} else {
			timer.Reset(failingPollInterval)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// poll polls once and reports whether the member returned its status.
func (p *prober) poll(ctx context.Context) bool {
	requestedAt := p.k.c.Clock()
	requests := 1
	if p.failing == 1 {
		requests = parallelRequests
	}
	status, err := p.requestStatuses(ctx, requests)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		p.failing = 0
		p.recordStatus(requestedAt, status)
		return true
	}
	if tooBusy(err) {
		p.recordBusy()
		return false
	}
	if answeredOther(err) {
		return false
	}
	p.failing++
	if p.k.c.Clock().Sub(requestedAt) > statusTimeout+overrun {
		return false
	}
	p.recordFailure(requestedAt, requests, err)
	if p.deregistered.Load() {
		select {
		case p.k.unresponsive <- p:
		case <-ctx.Done():
		}
	}
	return false
}

// requestStatuses sends status requests in parallel, on fresh connections if the last
// poll got no response. It returns the first response or the first error that shows a
// busy member, else the last error.
func (p *prober) requestStatuses(ctx context.Context, requests int) (chervilladder.LinkStatus, error) {
	pool := p.k.c.Pools.For(p.upstream)
	get := func(ctx context.Context) (*link.Conn, error) { return getOrOpen(ctx, pool) }
	if p.failing > 0 {
		get = pool.OpenNew
	}
	if requests == 1 {
		return p.requestStatus(ctx, get)
	}
	type result struct {
		status chervilladder.LinkStatus
		err    error
	}
	results := make(chan result, requests)
	for range requests {
		p.k.running.Go(func() {
			var r result
			if err := recovery.Call(p.k.c.Log, part, func() { r.status, r.err = p.requestStatus(ctx, get) }); err != nil {
				r.err = err
			}
			results <- r
		})
	}
	var last result
	for range requests {
		if last = <-results; last.err == nil || tooBusy(last.err) {
			break
		}
	}
	return last.status, last.err
}

// tooBusy reports whether there is no status because the member is too busy or full, or
// this VM's pool is full. That doesn't show that the member is down.
func tooBusy(err error) bool {
	var refused *chervilladder.LinkRefusedError
	if errors.As(err, &refused) {
		return refused.Code == chervilladder.CodeBusy || refused.Code == chervilladder.CodeConnectionLimit
	}
	return errors.Is(err, link.ErrFull)
}

// answeredOther reports whether a status request received the answer to another command.
// That shows neither the member's status nor that it is down.
func answeredOther(err error) bool {
	var inDoubt *link.AnswerInDoubtError
	return errors.As(err, &inDoubt)
}

// getOrOpen returns a connection of a pool, or a new one if none becomes available in time:
// all may wait for a member that is silent, which only a new one shows.
func getOrOpen(ctx context.Context, pool *link.Pool) (*link.Conn, error) {
	fromPool, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	conn, err := pool.Get(fromPool, "", nil)
	if errors.Is(err, link.ErrFull) && ctx.Err() == nil {
		return pool.OpenNew(ctx)
	}
	return conn, err
}

// requestStatus sends one status request, on a connection from get.
func (p *prober) requestStatus(ctx context.Context, get func(context.Context) (*link.Conn, error)) (chervilladder.LinkStatus, error) {
	deadline := time.Now().Add(statusTimeout)
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
		if !answeredOther(err) {
			p.k.c.Pools.For(p.upstream).DiscardOlder(deadline.Add(-statusTimeout))
		}
		return status, err
	}
	conn.ReleaseAfterPoll()
	return status, err
}

// recordBusy resets a member's failures after a poll that ended with tooBusy.
func (p *prober) recordBusy() {
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		o := v.Members[p.upstream.ID]
		if o.Failures > 0 {
			o.RespondingSince = p.k.c.Clock()
		}
		o.FailingSince, o.Failures = time.Time{}, 0
		o.BusyAt = p.k.c.Clock()
		v.Members[p.upstream.ID] = o
	})
}

// recordFailure records that the parallel requests of one poll got no response.
func (p *prober) recordFailure(requestedAt time.Time, requests int, err error) {
	first := false
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		o := v.Members[p.upstream.ID]
		first = o.Failures == 0
		if first {
			o.FailingSince = requestedAt
		}
		o.Failures += requests
		v.Members[p.upstream.ID] = o
	})
	if first {
		p.log().WithError(err).Warn("statuspoll: upstream stopped responding")
	}
}

func (p *prober) recordStatus(requestedAt time.Time, status chervilladder.LinkStatus) {
	var before, observed blackboard.MemberObservation
	recovered := false
	p.k.update(p.service, func(v *blackboard.ClusterView) {
		o := v.Members[p.upstream.ID]
		before = o
		if status.Primary && o.RequestedAt.IsZero() {
			v.DepartedSince = requestedAt // its replicas before this VM polled it aren't known
		}
		recovered = o.Failures > 0
		if recovered || o.RequestedAt.IsZero() {
			o.RespondingSince = requestedAt
		}
		o.Status, o.RequestedAt = status, requestedAt
		o.FailingSince, o.Failures = time.Time{}, 0
		v.Members[p.upstream.ID] = o
		markPaused(v, p.upstream.ID, requestedAt)
		markStalled(v, requestedAt)
		p.k.markLagging(v, p.service, requestedAt)
		observed = v.Members[p.upstream.ID]
	})
	if recovered {
		p.log().Info("statuspoll: upstream responds again")
	}
	p.logRegress(before, observed)
	p.k.recordSample(p.cluster, observed)
	p.k.c.Pools.SetConnectionCount(p.upstream, status.Connections)
}

func (p *prober) log() *logrus.Entry {
	return p.k.c.Log.WithFields(logrus.Fields{"upstream": p.upstream.ID, "service": p.service})
}

// markDeparted records what the primary's log holds, by a status requested after a
// replica was found gone or this VM began to poll the cluster.
func markDeparted(v *blackboard.ClusterView) {
	p, known := v.Members[v.Primary]
	if !known || !p.Status.Primary || v.DepartedSince.IsZero() || p.RequestedAt.Before(v.DepartedSince) {
		return
	}
	v.DepartedMark, v.DepartedSince = v.DepartedMark.Later(p.Status.Received), time.Time{}
}

// markPaused records since when a replica has been paused.
func markPaused(v *blackboard.ClusterView, id chervilladder.UpstreamID, now time.Time) {
	o := v.Members[id]
	switch {
	case o.Status.PauseTerm == 0:
		o.PausedSince = time.Time{}
	case o.PausedSince.IsZero():
		o.PausedSince = now
	}
	v.Members[id] = o
}

// markStalled records a position of the primary's log that no replica has reached yet,
// and since when.
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

// markLagging records since when no replica is recent enough for any read.
func (k *Controller) markLagging(v *blackboard.ClusterView, service chervilladder.ServiceID, now time.Time) {
	least, replicas := time.Duration(0), 0
	for id, o := range v.Members {
		if id == v.Primary || o.RequestedAt.IsZero() || o.Leaves() {
			continue
		}
		if replicas == 0 || o.Status.Lag < least {
			least = o.Status.Lag
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

// reached reports whether some replica has received the position, or no replica's status
// is known.
func reached(v *blackboard.ClusterView, m chervilladder.Mark) bool {
	replicas := 0
	for id, o := range v.Members {
		if id == v.Primary || o.RequestedAt.IsZero() {
			continue
		}
		replicas++
		if o.Status.Received.Covers(m) {
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
