package failover

import (
	"context"
	"errors"
	"sync"

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
// before replicas are let go, by any VM that reaches it. All replicas are paused, but
// one that is new to the service is not; and those that are let go follow whichever
// primary they reach. Either would confirm what the new primary lacks.
func (r *replacement) depose(ctx context.Context, term chervilladder.Term) {
	old, ok := r.view.Members[r.view.Primary]
	if !ok {
		return
	}
	ctx, done := context.WithTimeout(ctx, orderTimeout)
	defer done()
	var asked sync.WaitGroup
	asked.Go(func() {
		if _, err := r.order(ctx, old, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: term}); err == nil {
			done() // no peer need reach it
		}
	})
	for _, peer := range r.k.deposers(r.service) {
		asked.Go(func() {
			if r.k.c.Deposers.Depose(ctx, peer.Peer, old.ID, term) == nil {
				r.log.WithFields(logrus.Fields{"upstream": old.ID, "by": peer.ID, "order-term": term}).Info("failover: old primary stepped down for a peer")
				done()
			}
		})
	}
	asked.Wait()
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
