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
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// replacement is one attempt to correct a cluster, in most cases by replacing its
// primary. Demote makes one to send a peer's order.
type replacement struct {
	k       *Controller
	service chervilladder.ServiceID
	cluster *blackboard.Cluster
	view    blackboard.ClusterView
	cause   lead.Cause
	log     *logrus.Entry
	// lastAttempt is when this VM's last attempt on the cluster ended.
	lastAttempt time.Time
	// term is the term of the new primary.
	term chervilladder.Term
	// orderUntil is until when this VM may order a promotion.
	orderUntil time.Time
	// pausedAt is when the last of the replicas was paused. unpaused is the one that was left
	// running, so that the old primary can continue to commit with its confirmations;
	// empty if all were paused.
	pausedAt time.Time
	unpaused chervilladder.UpstreamID
	// demoted is set once the old primary has been demoted. The old primary is sent the
	// order again when its successor's promotion is observed: it may have restarted
	// meanwhile.
	demoted   atomic.Bool
	announced announcements
	// stopWatching ends the goroutine of watchUnpaused; nil if there is none.
	stopWatching func()
	// lossLogged is done once the attempt has given up reported commits.
	lossLogged sync.Once
	// changed are candidates that have started again, or lost their pause, since they were
	// ordered.
	changed map[chervilladder.UpstreamID]bool
	// evidence is for logs.
	evidence evidence
}

// The reasons why a replacement was not completed.
var (
	errUnreachable       = errors.New("a replica that may hold an acknowledged commit is unreachable")
	errNoCandidate       = errors.New("no replica can be promoted")
	errLeadershipExpired = errors.New("the failover leadership was recorded too long ago to order a promotion")
	errChanged           = errors.New("the state of the cluster has changed since it was assessed")
	errNotAllPaused      = errors.New("a member has joined, started again or been resumed since the replicas were paused")
	errNotObserved       = errors.New("no primary of the expected term was observed")
	errUpstreamsNotRead  = errors.New("the list of upstreams could not be read from the store, and the known one may lack a replica that confirms commits")
)

// supersededError reports a member that leads a later term: an earlier order has taken
// effect.
type supersededError struct {
	By   chervilladder.UpstreamID
	Term chervilladder.Term
}

func (e *supersededError) Error() string {
	return fmt.Sprintf("%s is already primary of term %d", e.By, e.Term)
}

// behindError reports that no replica holds all commits that a VM has reported as done, or
// that a departed replica may have confirmed.
type behindError struct {
	// Needed is the mark that a replica must have received.
	Needed chervilladder.Mark
}

func (e *behindError) Error() string {
	return fmt.Sprintf("no replica holds all commits that were reported as done or that a departed replica may have confirmed: the log up to %s", e.Needed)
}

// run corrects the cluster. To replace the primary, it pauses the replicas, promotes the
// one with the most advanced log, and has the others follow it.
func (r *replacement) run(ctx context.Context) error {
	r.term = r.nextTerm()
	if err := r.refresh(ctx, r.lastAttempt); err != nil {
		return err
	}
	// Before any replica is paused in vain. For CauseUnfinished they are paused, and an
	// attempt that fails resumes them once that is safe.
	if r.replacesPrimary() && r.cause != lead.CauseUnfinished {
		if err := r.checkFeasible(); err != nil {
			return err
		}
	}
	began := r.k.c.Clock()
	record, err := r.acquire(ctx)
	if err == nil {
		err = r.refresh(ctx, r.evidenceSince(began))
	}
	if err != nil {
		return err
	}
	if lead.NonePaused(r.view) {
		r.k.leadership.markUnpaused(r.service)
	}
	switch r.cause {
	case lead.CauseLeftPaused:
		if err := r.checkPrimary(ctx); err != nil {
			return err
		}
		return r.resume(ctx, lead.LeftPaused(r.view))
	case lead.CauseOutdated:
		return r.demoteOutdated(ctx, lead.Outdated(r.view))
	}
	newPrimary, err := r.promoteSuccessor(ctx, record)
	var superseded *supersededError
	if errors.As(err, &superseded) {
		newPrimary = superseded.By // resume the paused replicas, so that they follow it
	}
	if newPrimary != "" {
		err = errors.Join(err, r.demoteAndResume(ctx, newPrimary))
	}
	return err
}

// slowAcquire is how long the write of the record may take before the members are polled
// again: the state of the cluster may have changed meanwhile.
const slowAcquire = 100 * time.Millisecond

// evidenceSince returns the time before which no status counts once the record is acquired:
// when this VM took the leadership, or when a slow renewal of it began.
func (r *replacement) evidenceSince(began time.Time) time.Time {
	since := r.k.leadership.since()
	if r.k.c.Clock().Sub(began) > slowAcquire && since.Before(began) {
		return began
	}
	return since
}

// acquire records this VM's attempt on the cluster.
func (r *replacement) acquire(ctx context.Context) (chervilladder.Leadership, error) {
	record, orderUntil, err := r.k.leadership.acquire(ctx, r.service, r.term)
	if err == nil {
		r.orderUntil = orderUntil
	}
	return record, err
}

// exclusive reports whether no other VM can have taken over the leadership by the time
// that an order sent now arrives.
func (r *replacement) exclusive() bool {
	return r.k.c.Clock().Before(r.orderUntil.Add(exclusiveFor - validFor))
}

// ensureExclusive renews the record unless it was written recently enough. Another VM
// may have taken over while this one was suspended, and paused the same replicas.
func (r *replacement) ensureExclusive(ctx context.Context) error {
	if r.exclusive() {
		return nil
	}
	_, err := r.acquire(ctx)
	return err
}

// promoteSuccessor pauses the replicas and promotes the one with the most advanced log.
// It returns the new primary.
func (r *replacement) promoteSuccessor(ctx context.Context, record chervilladder.Leadership) (chervilladder.UpstreamID, error) {
	attemptCtx, cancelAttempt := context.WithCancel(ctx)
	defer cancelAttempt()
	defer func() { r.endAnnouncement(ctx) }()
	best, err := r.choose(attemptCtx)
	if err == nil {
		if r.unpaused == "" {
			recovery.Go(attemptCtx, &r.k.running, r.k.c.Log, part, r.retryDemotion)
		}
		best, err = r.orderPromotion(ctx, record, best)
	}
	var superseded *supersededError
	switch {
	case err == nil:
		return best.Upstream, nil
	case errors.As(err, &superseded):
		return "", err
	default:
		cancelAttempt() // a replica that is resumed is no reason to demote the old primary
		return "", errors.Join(err, r.resumeAll(ctx))
	}
}

// refresh polls all members again unless each was polled after since, and returns
// errChanged if the cause no longer holds. since is when this VM's last attempt ended or
// when it acquired the leadership: before that, another VM may have corrected the
// cluster. After a slow renewal of the leadership it is when the renewal began. A member
// that is too busy may not respond within orderTimeout; refresh then continues with what is
// known, as the pause order queries each member again.
func (r *replacement) refresh(ctx context.Context, since time.Time) error {
	polled := func(v blackboard.ClusterView) bool { return lead.AllPolledSince(v, since) }
	if !polled(r.cluster.View.Load()) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r.cluster.PollTrigger.Ask()
		r.cluster.Await(ctx, polled)
	}
	r.view = r.cluster.View.Load()
	if lead.Assess(r.view, r.cluster.PeerReport.Load(), r.k.c.Clock()) != r.cause || r.nextTerm() != r.term {
		return errChanged
	}
	return nil
}

// replacesPrimary reports whether the primary is to be replaced. Otherwise only single
// members are corrected.
func (r *replacement) replacesPrimary() bool {
	return r.cause != lead.CauseLeftPaused && r.cause != lead.CauseOutdated
}

// checkPrimary queries the primary whether it still leads. The last observation may be
// as old as the poll interval and the timeout of a poll.
func (r *replacement) checkPrimary(ctx context.Context) error {
	status, err := r.sendOrder(ctx, r.view.Members[r.view.Primary], chervilladder.Command{Kind: chervilladder.CommandStatus})
	if err == nil && (!status.Primary || status.Term != r.view.Term) {
		err = errNotObserved
	}
	return err
}

// resumeAll resumes the paused replicas, which then follow the old primary again. That
// is safe only if no promotion can take effect any more: with another primary in the
// cluster they would confirm commits that the old one must not acknowledge. If it isn't
// safe they stay paused, and a later assessment finds an unfinished replacement.
//
// An order for a replica that is lost keeps none of them paused if all VMs have accepted it
// as a candidate: should it take effect all the same, they have reported nothing that this
// replica lacks. One for the primary changes nothing.
func (r *replacement) resumeAll(ctx context.Context) error {
	v, now := r.cluster.View.Load(), r.k.c.Clock()
	passOver := func(id chervilladder.UpstreamID) bool {
		return id == v.Primary || lead.Lost(v, id, now) && r.acceptedByAll(id)
	}
	if r.ensureExclusive(ctx) != nil || !r.k.leadership.noPromotionPending(r.service, passOver) {
		return nil
	}
	var list []chervilladder.UpstreamID
	for id := range r.view.Members {
		if id != r.view.Primary {
			list = append(list, id)
		}
	}
	return r.resume(ctx, list)
}

// nextTerm returns a term above all observed ones.
func (r *replacement) nextTerm() chervilladder.Term {
	term := r.view.Term
	for _, o := range r.view.Members {
		term = max(term, o.Status.Term, o.Status.PauseTerm)
	}
	return term + 1
}

// sleepUntil waits until a point in time of the VM's own clock.
func (r *replacement) sleepUntil(ctx context.Context, until time.Time) error {
	t := time.NewTimer(until.Sub(r.k.c.Clock()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
