// Package evidence asks the members of each cluster for their status, and
// keeps what they say, and what follows from it, on the blackboard.
package evidence

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
	"github.com/chervilladder/chervilladder/internal/session"
)

// Config configures a Controller.
type Config struct {
	Board  *blackboard.Board
	Linker chervilladder.Linker
	Pools  *link.Pools
	Log    *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
}

// Controller asks all registered upstreams. It is the one writer of the
// clusters' views and of their queues' capacities.
type Controller struct {
	c       Config
	probers map[chervilladder.UpstreamID]*prober
	running sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Linker == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("evidence: a board, a linker, pools, a log and a clock are needed")
	}
	return &Controller{c: c, probers: make(map[chervilladder.UpstreamID]*prober)}, nil
}

// Run asks until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	defer k.running.Wait()
	for {
		upstreams, changed := k.c.Board.Upstreams.Watch()
		k.follow(ctx, upstreams)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// follow starts and ends probers as upstreams come and go, and takes over
// what has changed about the others.
func (k *Controller) follow(ctx context.Context, u blackboard.Upstreams) {
	for id, p := range k.probers {
		if e, ok := u.ByID[id]; !ok || !p.serves(e) {
			p.stop()
			delete(k.probers, id)
			k.remove(p.service, id)
			k.c.Pools.Drop(id)
		}
	}
	for id, e := range u.ByID {
		k.update(e.Service, func(v *blackboard.ClusterView) {
			s := v.Members[id]
			s.Enrolled = e
			v.Members[id] = s
		})
		if k.probers[id] == nil {
			k.start(ctx, e)
		}
	}
}

func (k *Controller) start(ctx context.Context, e blackboard.Enrolled) {
	ctx, stop := context.WithCancel(ctx)
	p := &prober{k: k, upstream: e.Registered, service: e.Service, stop: stop, cluster: k.c.Board.Clusters.Get(e.Service)}
	k.probers[e.ID] = p
	k.running.Go(func() { p.run(ctx) })
}

func (k *Controller) remove(service chervilladder.ServiceID, id chervilladder.UpstreamID) {
	k.update(service, func(v *blackboard.ClusterView) { delete(v.Members, id) })
	k.c.Board.Clusters.Get(service).Applied.Remove(id)
}

// update changes a cluster's view and everything that follows from it.
func (k *Controller) update(service chervilladder.ServiceID, change func(*blackboard.ClusterView)) {
	c := k.c.Board.Clusters.Get(service)
	var before, after blackboard.ClusterView
	c.View.Update(func(v blackboard.ClusterView) blackboard.ClusterView {
		before, after = v, v
		after.Members = maps.Clone(v.Members)
		if after.Members == nil {
			after.Members = make(map[chervilladder.UpstreamID]blackboard.Sighting)
		}
		if r := k.c.Board.Routing.Load(); r != nil {
			after.Confirmations = r.Services[service].SyncReplicas
		}
		change(&after)
		after.Primary, after.Term = lead.Primary(after)
		return after
	})
	if before.Primary != after.Primary || before.Term != after.Term {
		k.c.Log.WithFields(logrus.Fields{
			"service": service, "primary": after.Primary, "term": after.Term, "was": before.Primary,
		}).Info("evidence: primary")
	}
	c.Queue.Configure(capacities(after))
}

// capacities returns the slots that this VM uses at each member.
func capacities(v blackboard.ClusterView) []schedule.Capacity {
	var list []schedule.Capacity
	for id, s := range v.Members {
		if !s.Answers() || id != v.Primary && !s.DrainingSince.IsZero() {
			continue
		}
		list = append(list, schedule.Capacity{Upstream: id, Slots: slots(s), Primary: id == v.Primary})
	}
	sortCapacities(list)
	return list
}

// sample notes a primary's position as a bound for reads that accept an age.
func (k *Controller) sample(c *blackboard.Cluster, s blackboard.Sighting) {
	if v := c.View.Load(); v.Primary == s.ID {
		session.Sample(c, freshness.Sample{Asked: s.Asked, Mark: s.Status.Received})
	}
}
