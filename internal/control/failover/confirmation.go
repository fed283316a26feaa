package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// confirmCandidate asks the candidate for its status, and returns an error unless it still
// is what it was when it was chosen and holds all that was reported. It may have started
// again since, without its log.
func (r *replacement) confirmCandidate(ctx context.Context, best lead.Paused) error {
	if r.unpaused != "" {
		return r.awaitCandidate(ctx, best)
	}
	status, err := r.sendOrder(ctx, r.view.Members[best.Upstream], chervilladder.Command{Kind: chervilladder.CommandPause, Term: r.term})
	if err != nil {
		return r.awaitCandidate(ctx, best)
	}
	return r.checkStatus(best, status)
}

// awaitCandidate is confirmCandidate by the polls of the candidate: one that was left running
// may still be about to receive the latest commits, and one may not have answered the order.
// If it is too busy to tell its status, what it has told since the pause counts.
func (r *replacement) awaitCandidate(ctx context.Context, best lead.Paused) error {
	since := r.k.c.Clock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	recovery.Go(ctx, &r.k.running, r.k.c.Log, part, r.pollStatuses)
	r.cluster.PollTrigger.Ask()
	told := func(o blackboard.MemberObservation, since time.Time) error {
		switch {
		case o.RequestedAt.Before(since):
			return fmt.Errorf("%w: %s", errUnreachable, best.Upstream)
		case r.unpaused == "" && o.Status.PauseTerm < r.term:
			return errNotAllPaused
		default:
			return r.checkStatus(best, o.Status)
		}
	}
	confirmed := func(v blackboard.ClusterView) bool { return told(v.Members[best.Upstream], since) == nil }
	if r.cluster.Await(ctx, confirmed) {
		return nil
	}
	o := r.cluster.View.Load().Members[best.Upstream]
	if !o.BusyAt.Before(since) {
		since = r.pausedAt
	}
	return told(o, since)
}

// reportedLostAfter is how long no candidate must have held what was reported before that
// counts as lost: a member that has crashed is back sooner, with its log.
const reportedLostAfter = 15 * time.Second

// behindGap is the time without such an attempt after which reportedLostAfter begins anew.
const behindGap = 5 * time.Second

// behindTimes are the times of attempts that found no candidate that holds what was
// reported: the first of a series, and the last.
type behindTimes struct{ first, last time.Time }

// noteBehind records an attempt that found no candidate that holds what was reported.
func (k *Controller) noteBehind(service chervilladder.ServiceID, err error) {
	var behind *behindError
	if !errors.As(err, &behind) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now, t := k.c.Clock(), k.behind[service]
	if now.Sub(t.last) > behindGap {
		t.first = now
	}
	t.last = now
	k.behind[service] = t
}

// reportedIsLost reports whether nobody can hold the last reported commits any more: no
// candidate has for long, and each registered member takes part in the attempt. The service
// would have no primary for ever otherwise.
func (r *replacement) reportedIsLost() bool {
	r.k.mu.Lock()
	t, now := r.k.behind[r.service], r.k.c.Clock()
	r.k.mu.Unlock()
	if now.Sub(t.last) > behindGap || now.Sub(t.first) < reportedLostAfter || r.anyRegisteredSince() {
		return false
	}
	for _, e := range r.k.c.Board.Upstreams.Load().Of(r.service) {
		if !r.cluster.View.Load().Members[e.ID].Answers() {
			return false
		}
	}
	r.lossLogged.Do(func() {
		r.log.WithField("reported", r.announced.needed().String()).Error("failover: commits that were reported as done are on no member any more")
	})
	return true
}

// checkStatus compares a status of the candidate with what it was when it was chosen.
func (r *replacement) checkStatus(best lead.Paused, status chervilladder.LinkStatus) error {
	if lacks(status.Received, best.Received) || r.startedAgain(best.Upstream) {
		return errNotAllPaused
	}
	best.Received = best.Received.Later(status.Received)
	return r.checkHeld(best)
}

// checkHeld returns an error if a candidate lacks a commit that a VM has reported, or that
// a departed replica may have confirmed.
func (r *replacement) checkHeld(candidate lead.Paused) error {
	v := r.cluster.View.Load()
	needed := v.DepartedMark
	if v.Confirmations > 0 && !r.reportedIsLost() {
		needed = needed.Later(r.announced.needed())
	}
	if !candidate.Received.Covers(needed) {
		return &behindError{Needed: needed}
	}
	return nil
}
