// Package locality keeps on the blackboard which share of the work that this VM forwards
// leaves its data centre. Only daemon.RunOnPlatform starts it.
package locality

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/locality"
	"github.com/chervilladder/chervilladder/internal/decide/placement"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// interval is the mean time between two decisions.
const interval = 250 * time.Millisecond

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the only writer of the board's Locality.
type Controller struct{ c Config }

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("locality: a board, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run decides until the context ends. The interval is random, so that VMs decide at
// different times and each sees what the others have changed.
func (k *Controller) Run(ctx context.Context) error {
	last := k.c.Clock()
	t := time.NewTimer(retry.Jitter(interval))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now := k.c.Clock()
			k.decide(now, now.Sub(last))
			last = now
			t.Reset(retry.Jitter(interval))
		case <-ctx.Done():
			return nil
		}
	}
}

// decide takes the decisions of all kinds of work.
func (k *Controller) decide(now time.Time, passed time.Duration) {
	before := k.c.Board.Locality.Load()
	next := make(blackboard.Locality)
	for service, hosts := range k.c.Board.Hosting.Load().Elsewhere {
		if !hosts.LeavesDataCentre() {
			continue
		}
		for p := range chervilladder.Priority(chervilladder.PriorityCount) {
			for _, a := range []chervilladder.Access{chervilladder.AccessWrite, chervilladder.AccessRead} {
				kind := blackboard.Kind{Service: service, Priority: p, Access: a}
				s := before[kind].Next(k.costs(kind, hosts, now), passed)
				if s != (locality.State{}) {
					next[kind] = s
				}
				k.log(kind, before[kind], s)
			}
		}
	}
	if len(before) > 0 || len(next) > 0 {
		k.c.Board.Locality.Store(next)
	}
}

// costs returns the mean costs of the usable hosts of this data centre, and of others.
func (k *Controller) costs(kind blackboard.Kind, hosts blackboard.Hosts, now time.Time) locality.Costs {
	own := k.hostCosts(kind, hosts.VMs[:hosts.OwnCount], now)
	other := k.hostCosts(kind, hosts.VMs[hosts.OwnCount:hosts.HostCount], now)
	if len(own) == 0 || len(other) == 0 {
		return locality.Costs{} // without a choice, nothing changes
	}
	return locality.Costs{Own: mean(own), Other: mean(other)}
}

// hostCosts returns the costs of those of the VMs that are usable.
func (k *Controller) hostCosts(kind blackboard.Kind, vms []chervilladder.VMID, now time.Time) []time.Duration {
	var list []time.Duration
	for _, vm := range vms {
		t, known := k.c.Board.ForwardTargets.Find(vm)
		s, _ := k.c.Board.HostStates.Find(blackboard.ServiceHost{VM: vm, Service: kind.Service})
		standing, cost := placement.Assess(placement.Preferred, t, s, kind.Priority, kind.Access, now)
		if !known || t.Overhead.Load() == 0 {
			cost = locality.UnknownCost
		}
		if standing < placement.Silent {
			list = append(list, cost)
		}
	}
	return list
}

func mean(list []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// log writes a line when work begins or ceases to leave.
func (k *Controller) log(kind blackboard.Kind, before, after locality.State) {
	if (before.Share > 0) == (after.Share > 0) {
		return
	}
	text := "locality: work no longer leaves the data centre"
	if after.Share > 0 {
		text = "locality: work leaves the data centre, where its hosts cost it more time than the way to others"
	}
	k.c.Log.WithFields(logrus.Fields{
		"service": kind.Service, "priority": kind.Priority.String(), "reads": kind.Access == chervilladder.AccessRead,
	}).Info(text)
}
