// Package statuspoll polls the members of each cluster for their status, and keeps the
// observations, and what is derived from them, on the blackboard. Only daemon.RunOnPlatform
// starts it.
package statuspoll

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/recovery"
	"github.com/chervilladder/chervilladder/internal/session"
)

// part names this package in reports of panics.
const part recovery.Part = "statuspoll"

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Pools *link.Pools
	Log   *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// drainMargin is how long before the end of an upstream's drain a primary gets no more
// work: the time at which its drain was announced is not known exactly, and work may be
// on its way.
const drainMargin = 1500 * time.Millisecond

// drainLimit returns for how long a draining primary gets work, and whether there is a
// limit.
func (k *Controller) drainLimit() (time.Duration, bool) {
	drain := k.c.Board.Bounds.Load().UpstreamDrain
	return max(drain-drainMargin, drain/2), drain > 0
}

// Controller polls all registered upstreams. It is the only writer of the clusters'
// views and of their queues' capacities.
type Controller struct {
	c       Config
	probers map[chervilladder.UpstreamID]*prober
	// unresponsive receives the probers of members that don't respond any more and whose
	// entries are gone.
	unresponsive chan *prober
	running      sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("statuspoll: a board, pools, a log and a clock are needed")
	}
	return &Controller{c: c, unresponsive: make(chan *prober)}, nil
}

// Run polls until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer k.running.Wait()
	defer stop()
	k.probers = make(map[chervilladder.UpstreamID]*prober) // those of a run that panicked have ended
	for {
		upstreams, changed := k.c.Board.Upstreams.Watch()
		hosting, moved := k.c.Board.Hosting.Watch()
		k.dropElsewhere(hosting)
		k.syncProbers(ctx, hosted(upstreams, hosting))
		select {
		case <-changed:
		case <-moved:
		case p := <-k.unresponsive:
			k.drop(p)
		case <-ctx.Done():
			return nil
		}
	}
}

// dropElsewhere drops the members of services that only other VMs host now.
func (k *Controller) dropElsewhere(h blackboard.Hosting) {
	for _, p := range k.probers {
		if !h.Here(p.service) {
			k.drop(p)
		}
	}
}

// hosted returns the upstreams of the services that this VM hosts.
func hosted(u blackboard.Upstreams, h blackboard.Hosting) blackboard.Upstreams {
	if len(h.Elsewhere) == 0 && !h.HostsUnknown {
		return u
	}
	here := blackboard.Upstreams{ByID: make(map[chervilladder.UpstreamID]blackboard.KnownUpstream), Known: u.Known, Revision: u.Revision}
	for id, e := range u.ByID {
		if h.Here(e.Service) {
			here.ByID[id] = e
		}
	}
	return here
}

// syncProbers starts and stops probers as upstreams are registered and removed, and
// updates the registrations of the others.
func (k *Controller) syncProbers(ctx context.Context, u blackboard.Upstreams) {
	for id, p := range k.probers {
		switch e, ok := u.ByID[id]; {
		case !ok:
			p.deregistered.Store(true)
			k.update(p.service, func(v *blackboard.ClusterView) {
				o := v.Members[id]
				o.Deregistered = true
				v.Members[id] = o
			})
		case !p.matches(e):
			p.logRestart(e)
			k.drop(p)
		}
	}
	for id, e := range u.ByID {
		k.register(e)
		if p := k.probers[id]; p != nil {
			p.deregistered.Store(false)
		} else {
			k.start(ctx, e)
		}
	}
}

// register adds a member to the view of its cluster, or updates its registration. With
// the first member this VM begins to poll the cluster.
func (k *Controller) register(e blackboard.KnownUpstream) {
	now := k.c.Clock()
	k.update(e.Service, func(v *blackboard.ClusterView) {
		if len(v.Members) == 0 {
			v.DepartedSince = now
		}
		o := v.Members[e.ID]
		o.KnownUpstream, o.Deregistered = e, false
		v.Members[e.ID] = o
	})
}

// drop removes a member that is gone, has restarted, or is of a service that only other
// VMs host now.
func (k *Controller) drop(p *prober) {
	id := p.upstream.ID
	if k.probers[id] != p {
		return
	}
	p.stop()
	delete(k.probers, id)
	k.remove(p.service, id)
	k.c.Pools.Remove(id)
}

func (k *Controller) start(ctx context.Context, e blackboard.KnownUpstream) {
	ctx, stop := context.WithCancel(ctx)
	p := &prober{k: k, upstream: e.Registered, service: e.Service, stop: stop, cluster: k.c.Board.Clusters.Get(e.Service)}
	k.probers[e.ID] = p
	recovery.Go(ctx, &k.running, k.c.Log, part, p.run)
}

func (k *Controller) remove(service chervilladder.ServiceID, id chervilladder.UpstreamID) {
	now := k.c.Clock()
	var removed blackboard.MemberObservation
	var mark chervilladder.Mark
	k.update(service, func(v *blackboard.ClusterView) {
		removed = v.Members[id]
		removed := v.Members[id]
		delete(v.Members, id)
		if p, ok := v.Members[v.Primary]; ok && id != v.Primary {
			v.DepartedSince = now
			v.DepartedMark = v.DepartedMark.Later(p.Status.Received).Later(removed.Status.Received)
		}
		mark = v.DepartedMark
	})
	k.logRemoved(service, removed, mark)
	k.c.Board.Clusters.Get(service).Applied.Remove(id)
	k.c.Board.Clusters.Get(service).Resumed.Remove(id)
	k.c.Board.Clusters.Get(service).StatusTriggers.Remove(id)
}

// update changes a cluster's view and recomputes what is derived from it.
func (k *Controller) update(service chervilladder.ServiceID, change func(*blackboard.ClusterView)) {
	c := k.c.Board.Clusters.Get(service)
	var before, after blackboard.ClusterView
	c.View.Update(func(v blackboard.ClusterView) blackboard.ClusterView {
		before, after = v, v
		after.Members = maps.Clone(v.Members)
		if after.Members == nil {
			after.Members = make(map[chervilladder.UpstreamID]blackboard.MemberObservation)
		}
		if r := k.c.Board.Routing.Load(); r != nil {
			after.Confirmations = r.Services[service].SyncReplicas
		}
		change(&after)
		after.Primary, after.Term = lead.Primary(after)
		markDeparted(&after)
		switch {
		case after.Primary != "":
			after.MissingSince = time.Time{}
		case after.MissingSince.IsZero():
			after.MissingSince = k.c.Clock()
		}
		after.LastShed = c.LastShed.Load()
		after.UnreachedSince = unreachedSince(after, k.c.Clock())
		return after
	})
	if before.Primary != after.Primary || before.Term != after.Term {
		k.c.Log.WithFields(logrus.Fields{
			"service": service, "primary": after.Primary, "term": after.Term, "was": before.Primary,
		}).Info("statuspoll: primary changed")
	}
	c.Queue.Configure(k.capacities(after))
}

// unreachedSince returns since when no primary responds; zero while one does.
func unreachedSince(v blackboard.ClusterView, now time.Time) time.Time {
	p, known := v.Members[v.Primary]
	switch {
	case known && p.Answers():
		return time.Time{}
	case !v.UnreachedSince.IsZero():
		return v.UnreachedSince
	case known && !p.FailingSince.IsZero():
		return p.FailingSince
	default:
		return now
	}
}

// capacities returns the slots that this VM uses at each member. A draining primary gets
// work until drainLimit.
func (k *Controller) capacities(v blackboard.ClusterView) []schedule.Capacity {
	now := k.c.Clock()
	limit, limited := k.drainLimit()
	var list []schedule.Capacity
	for id, o := range v.Members {
		if limited && !o.DrainingSince.IsZero() && now.Sub(o.DrainingSince) >= limit {
			continue
		}
		if !o.Answers() || o.Deregistered || id != v.Primary && o.Leaves() {
			continue
		}
		own := k.c.Board.Self.DataCentre
		distant := own != "" && o.DataCentre != "" && o.DataCentre != own
		list = append(list, schedule.Capacity{Upstream: id, Slots: slots(o), Primary: id == v.Primary, Distant: distant})
	}
	sortCapacities(list)
	return list
}

// recordSample records the primary's position and its time, from which the age of
// replicas' data is computed for reads that accept stale data.
func (k *Controller) recordSample(c *blackboard.Cluster, o blackboard.MemberObservation) {
	if v := c.View.Load(); v.Primary == o.ID {
		session.AddSample(c, freshness.Sample{RequestedAt: o.RequestedAt, Mark: o.Status.Received})
	}
}
