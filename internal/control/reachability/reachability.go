// Package reachability queries peers for primaries that this VM can't reach, and
// reports to peers which ones it reaches. Only daemon.RunOnPlatform starts it.
package reachability

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

const (
	// checkInterval is the time between two checks for unreachable primaries.
	checkInterval = 100 * time.Millisecond
	// queryInterval is the time between two rounds of queries about one cluster.
	queryInterval = 250 * time.Millisecond
	// pollTimeout is how long a VM polls its upstreams to answer a peer's query, and
	// queryTimeout how long the peer waits for that.
	pollTimeout  = 300 * time.Millisecond
	queryTimeout = 350 * time.Millisecond
	// pollInterval is the time between two polls of the upstreams meanwhile.
	pollInterval = 50 * time.Millisecond
	// maxQueriedPeers is the maximum number of peers that are queried. Those that may
	// host the service are queried first.
	maxQueriedPeers = 8
)

// part names this package in reports of panics.
const part recovery.Part = "reachability"

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	// Peers queries other VMs.
	Peers chervilladder.PeerReachability
	Log   *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
	// Leaving reports whether the VM leaves and accepts no new work.
	Leaving func() bool
}

// Controller is the only writer of the clusters' PeerReport.
type Controller struct {
	c Config
	// querying holds the clusters with a round in progress. Only
	// Run's goroutine uses it.
	querying map[chervilladder.ServiceID]bool
	finished chan chervilladder.ServiceID
	running  sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Peers == nil || c.Log == nil || c.Clock == nil || c.Leaving == nil {
		return nil, errors.New("reachability: a board, peers, a log, a clock and whether the VM leaves are needed")
	}
	return &Controller{c: c, finished: make(chan chervilladder.ServiceID)}, nil
}

// Run checks for unreachable primaries until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer k.running.Wait()
	defer stop()
	k.querying = make(map[chervilladder.ServiceID]bool) // the rounds of a run that panicked have ended
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.startRounds(ctx)
		case s := <-k.finished:
			delete(k.querying, s)
		case <-ctx.Done():
			return nil
		}
	}
}

// startRounds starts a round of queries for each cluster that needs one.
func (k *Controller) startRounds(ctx context.Context) {
	for service, c := range k.c.Board.Clusters.All() {
		if k.querying[service] || !lead.ShouldQueryPeers(c.View.Load()) {
			continue
		}
		k.querying[service] = true
		k.running.Go(func() {
			_ = recovery.Call(k.c.Log, part, func() { k.round(ctx, service, c) }) // the next round tries again
			select {
			case k.finished <- service:
			case <-ctx.Done():
			}
		})
	}
}

// round queries peers once, and stores the report of the first one that reaches the
// primary.
func (k *Controller) round(ctx context.Context, service chervilladder.ServiceID, c *blackboard.Cluster) {
	next := time.NewTimer(queryInterval)
	defer next.Stop()
	if report, ok := k.query(ctx, service); ok {
		before := c.PeerReport.Load()
		c.PeerReport.Store(report)
		if before.By != report.By || before.Reached != report.Reached {
			k.c.Log.WithFields(logrus.Fields{
				"service": service, "peer": report.By, "primary": report.Reached.Primary, "term": report.Reached.Term,
			}).Info("reachability: a peer reaches the primary that this VM can't reach")
		}
	}
	select {
	case <-next.C:
	case <-ctx.Done():
	}
}

// query queries peers in parallel, and returns the first report of one that reaches the
// primary.
func (k *Controller) query(ctx context.Context, service chervilladder.ServiceID) (blackboard.PeerReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peers := hosting.Ranked(service, k.c.Board.Peers.Load(), maxQueriedPeers)
	queriedAt := k.c.Clock()
	reports := make(chan blackboard.PeerReport, len(peers))
	for _, peer := range peers {
		k.running.Go(func() {
			var report blackboard.PeerReport
			_ = recovery.Call(k.c.Log, part, func() { // no report, as after an error
				if primary, err := k.c.Peers.ReachablePrimary(ctx, peer.Peer, service); err == nil {
					report = blackboard.PeerReport{By: peer.ID, Reached: primary, RequestedAt: queriedAt}
				}
			})
			reports <- report
		})
	}
	for range peers {
		if report := <-reports; report.By != "" {
			return report, true
		}
	}
	return blackboard.PeerReport{}, false
}

var _ chervilladder.Reachability = (*Controller)(nil)

// ReachablePrimary has the members of a cluster polled again, and returns the primary
// if this VM reaches it.
func (k *Controller) ReachablePrimary(ctx context.Context, service chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	c, known := k.c.Board.Clusters.Find(service)
	if !known || k.c.Leaving() || !k.c.Board.Hosting.Load().Here(service) {
		return chervilladder.PrimaryTerm{}, &chervilladder.PrimaryUnreachableError{Service: service}
	}
	calledAt := k.c.Clock()
	if lead.PrimaryUnreachable(c.View.Load(), blackboard.PeerReport{}, calledAt) {
		return chervilladder.PrimaryTerm{}, &chervilladder.PrimaryUnreachableError{Service: service} // enough polls have failed already; another one would not help
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	next := time.NewTicker(pollInterval)
	defer next.Stop()
	c.PollTrigger.Ask()
	for {
		v, changed := c.View.Watch()
		if primary, ok := lead.ReachablePrimary(v, calledAt, k.c.Clock()); ok {
			return primary, nil
		}
		select {
		case <-changed:
		case <-next.C:
			c.PollTrigger.Ask()
		case <-ctx.Done():
			return chervilladder.PrimaryTerm{}, &chervilladder.PrimaryUnreachableError{Service: service}
		}
	}
}
