package failover

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// maxDemotionPeers is the maximum number of peers that are asked to demote an old
// primary. Those that host its service are asked first, as callers reach it through them
// only.
const maxDemotionPeers = 32

// errStillLeads reports an upstream that responded and is still primary.
var errStillLeads = errors.New("the upstream is still primary, possibly of a later term")

// demoteOldPrimary demotes the old primary, and logs if no VM could. It must be demoted
// although the replicas are paused: one that has newly joined the service is not paused,
// and resumed replicas follow whichever primary they reach. Either could confirm commits
// of the old primary that the new one lacks. So it is called before the promotion is
// ordered, and again before the replicas are resumed.
func (r *replacement) demoteOldPrimary(ctx context.Context, term chervilladder.Term) {
	old, ok := r.view.Members[r.view.Primary]
	switch {
	case !ok:
	case r.demote(ctx, old, term):
		r.demoted.Store(true)
	case ctx.Err() == nil:
		r.log.WithField("upstream", old.ID).Info("failover: old primary not demoted")
	}
}

// watchUnpaused runs demoteIfUnpaused until endWatch or the context's end.
func (r *replacement) watchUnpaused(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	recovery.Go(ctx, &r.k.running, r.k.c.Log, part, func(ctx context.Context) {
		defer close(done)
		r.demoteIfUnpaused(ctx)
	})
	r.stopWatching = func() {
		cancel()
		<-done
	}
}

// endWatch waits for the end of watchUnpaused, which reads what the attempt knows of its
// members.
func (r *replacement) endWatch() {
	if r.stopWatching != nil {
		r.stopWatching()
		r.stopWatching = nil
	}
}

// demoteIfUnpaused demotes the old primary as soon as there is an unpaused replica,
// other than the one that takes over, which may confirm its commits: one that newly
// joined, restarted, or was resumed by another VM. If all VMs report by the candidate only,
// the old primary stays: a candidate that loses its log receives it from there.
func (r *replacement) demoteIfUnpaused(ctx context.Context) {
	if r.cluster.Await(ctx, r.hasUnpaused) && !r.acceptedByAll(r.unpaused) {
		r.log.Info("failover: a replica is not paused; demoting the old primary before the promotion")
		r.demoteOldPrimary(ctx, r.term)
	}
}

// hasUnpaused reports whether a replica other than the one that takes over is not paused.
func (r *replacement) hasUnpaused(v blackboard.ClusterView) bool {
	for id, o := range v.Members {
		if id != r.view.Primary && id != r.unpaused && (r.joined(id) || r.leftPause(o)) {
			return true
		}
	}
	return false
}

// mayConfirm is hasUnpaused for an attempt that has paused all replicas. It leaves out one
// that has joined and answers no status yet: no VM takes it for evidence that a commit is
// kept.
func (r *replacement) mayConfirm(v blackboard.ClusterView) bool {
	for id, o := range v.Members {
		if id != r.view.Primary && (r.joined(id) && o.Answers() || r.leftPause(o)) {
			return true
		}
	}
	return false
}

// joined reports whether a member isn't part of the attempt.
func (r *replacement) joined(id chervilladder.UpstreamID) bool {
	_, known := r.view.Members[id]
	return !known
}

// leftPause reports whether a member of the attempt has started again or was found to
// replicate since it was paused.
func (r *replacement) leftPause(o blackboard.MemberObservation) bool {
	paused, known := r.view.Members[o.ID]
	if !known {
		return false
	}
	replicates := o.RequestedAt.After(r.pausedAt) && !o.Status.Primary && o.Status.PauseTerm < r.term
	return replicates || !o.Born.Equal(paused.Born)
}

// demotionRetryInterval is the time between two attempts to demote an old primary while
// its successor is promoted.
const demotionRetryInterval = 100 * time.Millisecond

// retryDemotion retries until the old primary is demoted, from the promotion order on.
// Each attempt runs in a goroutine of its own, as one that began while the old primary was
// unreachable may hang.
func (r *replacement) retryDemotion(ctx context.Context) {
	var attempts recovery.Group
	defer attempts.Wait()
	t := time.NewTicker(demotionRetryInterval)
	defer t.Stop()
	for !r.demoted.Load() {
		select {
		case <-t.C:
			attempts.Go(func() { r.demoteOldPrimary(ctx, r.term) })
		case <-ctx.Done():
			return
		}
	}
}

// errNotDemoted reports primaries of earlier terms that no VM could demote.
var errNotDemoted = errors.New("a primary of an earlier term could not be demoted")

// demoteOutdated demotes primaries of earlier terms.
func (r *replacement) demoteOutdated(ctx context.Context, list []chervilladder.UpstreamID) error {
	var failed error
	for _, id := range list {
		if !r.demote(ctx, r.view.Members[id], r.view.Term) {
			failed = errors.Join(failed, fmt.Errorf("%w: %s", errNotDemoted, id))
		}
	}
	return failed
}

// demote demotes a primary through this VM or any peer that reaches it, and reports
// whether one of them succeeded. A member that answers and still leads isn't demoted.
func (r *replacement) demote(ctx context.Context, old blackboard.MemberObservation, term chervilladder.Term) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var demoted atomic.Bool
	var calls recovery.Group
	calls.Go(func() {
		status, err := r.sendOrder(ctx, old, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: term})
		if err == nil && !status.Primary {
			demoted.Store(true)
			cancel() // ends the calls to peers
		}
	})
	for _, peer := range r.k.demotionPeers(r.service) {
		calls.Go(func() {
			if r.k.c.PeerDemoter.Demote(ctx, peer.Peer, old.ID, term) == nil {
				r.log.WithFields(logrus.Fields{"upstream": old.ID, "by": peer.ID, "order-term": term}).Info("failover: old primary demoted by a peer")
				r.evidence.noteDemotion(peer.ID, old.ID, r.k.c.Clock())
				demoted.Store(true)
				cancel()
			}
		})
	}
	calls.Wait()
	return demoted.Load()
}

// demotionPeers returns the peers to ask, those that may host the service first.
func (k *Controller) demotionPeers(service chervilladder.ServiceID) []chervilladder.VM {
	if k.c.PeerDemoter == nil {
		return nil
	}
	return hosting.Ranked(service, k.c.Board.Peers.Load(), maxDemotionPeers)
}

var _ chervilladder.Demoter = (*Controller)(nil)

// Demote demotes a primary of an earlier term for a peer that can't reach it.
func (k *Controller) Demote(ctx context.Context, id chervilladder.UpstreamID, term chervilladder.Term) error {
	e, ok := k.c.Board.Upstreams.Load().ByID[id]
	if !ok {
		return &chervilladder.UpstreamLostError{Upstream: id, Err: errUnreachable}
	}
	log := k.c.Log.WithFields(logrus.Fields{"service": e.Service, "cause": lead.CauseOutdated})
	r := &replacement{k: k, service: e.Service, log: log}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := r.sendOrder(ctx, blackboard.MemberObservation{KnownUpstream: e}, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: term})
	if err == nil && status.Primary {
		err = errStillLeads
	}
	return err
}
