package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// maxDeposers is how many peers are asked to reach an old primary at most. Callers
// reach it by a VM that hosts its service only, and those are asked first.
const maxDeposers = 32

// errStillLeads reports an upstream that answered and goes on as primary.
var errStillLeads = errors.New("the upstream leads a later term, or goes on")

// depose makes the old primary a replica before its successor is ordered, and again
// before replicas are let go. All replicas are paused, but one that is new to the
// service is not; and those that are let go follow whichever primary they reach.
// Either would confirm what the new primary lacks.
func (r *replacement) depose(ctx context.Context, term chervilladder.Term) {
	old, ok := r.view.Members[r.view.Primary]
	switch {
	case !ok:
	case r.stepDownBy(ctx, old, term):
		r.deposed.Store(true)
	case ctx.Err() == nil:
		r.log.WithField("upstream", old.ID).Info("failover: old primary not told of its successor")
	}
}

// guard has the old primary step down as soon as a replica may confirm its commits that
// is neither paused nor the one that takes over: one that is new, that has started
// anew, or that somebody has let go.
func (r *replacement) guard(ctx context.Context) {
	if r.cluster.Await(ctx, r.strays) {
		r.log.Info("failover: a replica is not paused, so the old primary steps down first")
		r.depose(ctx, r.term)
	}
}

// strays reports whether there is such a replica.
func (r *replacement) strays(v blackboard.ClusterView) bool {
	for id, s := range v.Members {
		paused, known := r.view.Members[id]
		switch {
		case id == r.view.Primary || id == r.goesOn:
		case !known || !s.Born.Equal(paused.Born):
			return true
		case s.Asked.After(r.pausedAt) && !s.Status.Primary && s.Status.Held < r.term:
			return true
		}
	}
	return false
}

// insistEvery is the time between two attempts to reach an old primary while the
// promotion of its successor is awaited.
const insistEvery = 100 * time.Millisecond

// insist goes on trying to make the old primary a replica. An attempt that began while
// it was out of reach may hang, so the next one does not wait for it.
func (r *replacement) insist(ctx context.Context) {
	var attempts sync.WaitGroup
	defer attempts.Wait()
	t := time.NewTicker(insistEvery)
	defer t.Stop()
	for !r.deposed.Load() {
		select {
		case <-t.C:
			attempts.Go(func() { r.depose(ctx, r.term) })
		case <-ctx.Done():
			return
		}
	}
}

// errNotStepped reports primaries of earlier terms that no VM has reached.
var errNotStepped = errors.New("a primary of an earlier term can't be told that it leads no more")

// stepDown makes primaries of earlier terms replicas.
func (r *replacement) stepDown(ctx context.Context, list []chervilladder.UpstreamID) error {
	var failed error
	for _, id := range list {
		if !r.stepDownBy(ctx, r.view.Members[id], r.view.Term) {
			failed = errors.Join(failed, fmt.Errorf("%w: %s", errNotStepped, id))
		}
	}
	return failed
}

// stepDownBy tells a primary that it leads no more, by this VM or any peer that
// reaches it, and reports whether it was told.
func (r *replacement) stepDownBy(ctx context.Context, old blackboard.Sighting, term chervilladder.Term) bool {
	ctx, done := context.WithTimeout(ctx, orderTimeout)
	defer done()
	var told atomic.Bool
	var asked sync.WaitGroup
	asked.Go(func() {
		if _, err := r.order(ctx, old, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: term}); err == nil {
			told.Store(true)
			done() // no peer need reach it
		}
	})
	for _, peer := range r.k.deposers(r.service) {
		asked.Go(func() {
			if r.k.c.Deposers.Depose(ctx, peer.Peer, old.ID, term) == nil {
				r.log.WithFields(logrus.Fields{"upstream": old.ID, "by": peer.ID, "order-term": term}).Info("failover: old primary stepped down for a peer")
				told.Store(true)
				done()
			}
		})
	}
	asked.Wait()
	return told.Load()
}

// deposers returns the peers to ask, those that may host the service first.
func (k *Controller) deposers(service chervilladder.ServiceID) []chervilladder.VM {
	if k.c.Deposers == nil {
		return nil
	}
	return hosting.Ranked(service, k.c.Board.Peers.Load(), maxDeposers)
}

var _ chervilladder.Deposer = (*Controller)(nil)

// Depose makes a primary of an earlier term a replica, for a peer that can't reach it.
func (k *Controller) Depose(ctx context.Context, id chervilladder.UpstreamID, term chervilladder.Term) error {
	e, ok := k.c.Board.Upstreams.Load().ByID[id]
	if !ok {
		return &chervilladder.UpstreamLostError{Upstream: id, Err: errOutOfSight}
	}
	log := k.c.Log.WithFields(logrus.Fields{"service": e.Service, "cause": lead.CauseOutdated})
	r := &replacement{k: k, service: e.Service, log: log}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := r.order(ctx, blackboard.Sighting{Enrolled: e}, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: term})
	if err == nil && status.Primary {
		err = errStillLeads
	}
	return err
}
