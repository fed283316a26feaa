package failover

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// The reasons why an ordered promotion isn't waited for any more.
var (
	errCandidateLost    = errors.New("the candidate is gone or unreachable, and hasn't been observed to lead")
	errCandidateChanged = errors.New("the candidate has started again or lost its pause since it was ordered")
)

// orderPromotion orders the promotion of the candidate and waits for its effect. An order
// for a candidate that has lost its log since can't be recalled, so another one is ordered
// at once: the changed one receives that one's log before its own order takes effect, or
// gives way to it afterwards. In place of a candidate that is lost, only the old primary
// is ordered, which holds all that it has acknowledged. It returns the one that leads.
func (r *replacement) orderPromotion(ctx context.Context, record chervilladder.Leadership, best lead.Paused) (lead.Paused, error) {
	r.changed = make(map[chervilladder.UpstreamID]bool)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recovery.Go(ctx, &r.k.running, r.k.c.Log, part, r.pollStatuses)
	for {
		err := r.promoteAndAwait(ctx, record, best)
		lost := errors.Is(err, errCandidateLost)
		if !lost && !errors.Is(err, errCandidateChanged) {
			return best, err
		}
		r.changed[best.Upstream] = true
		next, ok := r.nextCandidate(ctx)
		if !ok || lost && next.Upstream != r.view.Primary {
			return best, err
		}
		r.log.WithError(err).WithFields(logrus.Fields{"ordered": best.Upstream, "candidate": next.Upstream, "received": next.Received.String()}).Warn("failover: another candidate is ordered")
		r.announce(ctx, next.Upstream)
		if behind := r.checkHeld(next); behind != nil {
			return next, behind
		}
		best = next
	}
}

func (r *replacement) promoteAndAwait(ctx context.Context, record chervilladder.Leadership, best lead.Paused) error {
	if err := r.promote(ctx, record, best); err != nil {
		return err
	}
	if _, err := r.acquire(ctx); err != nil {
		r.log.WithError(err).Info("failover: leadership not renewed after the promotion order")
	}
	if err := r.awaitPromotion(ctx, best); err != nil {
		return err
	}
	r.k.leadership.markEffective(r.service, best.Upstream)
	return nil
}

// promote orders the promotion, and retries if the response is lost. Before each order it
// renews the record if that was written so long ago that another VM may have taken over,
// and has the candidate confirm that it holds what it must, unless it just has.
func (r *replacement) promote(ctx context.Context, record chervilladder.Leadership, best lead.Paused) error {
	id := best.Upstream
	for ordered, confirmed := false, true; ; ordered, confirmed = true, false {
		if v := r.cluster.View.Load(); v.Term > r.view.Term && v.Primary != "" && !r.changed[v.Primary] {
			return &supersededError{By: v.Primary, Term: v.Term}
		}
		if !r.k.c.Clock().Before(r.orderUntil) {
			var err error
			if record, err = r.acquire(ctx); err != nil {
				return err
			}
			if !r.k.c.Clock().Before(r.orderUntil) {
				return errLeadershipExpired
			}
			confirmed = false // the renewal may have taken long
			if !ordered && len(r.changed) == 0 && r.unpaused == "" && r.mayConfirm(r.cluster.View.Load()) {
				return errNotAllPaused
			}
		}
		if !confirmed {
			if err := r.confirmAgain(ctx, best); err != nil {
				return r.afterOrder(ordered, err)
			}
		}
		if r.startedAgain(id) {
			return r.afterOrder(ordered, errNotAllPaused)
		}
		answered, err := r.order(ctx, record, best)
		if answered {
			return err
		}
		if err := r.checkOrdered(best); err != nil {
			return err
		}
		if err := r.sleepUntil(ctx, r.k.c.Clock().Add(backOff)); err != nil {
			return err
		}
		if v := r.cluster.View.Load(); v.Primary == id {
			return nil
		}
		if err := r.checkOrdered(best); err != nil {
			return err
		}
	}
}

// checkOrdered returns an error if a candidate that was ordered isn't what it was.
func (r *replacement) checkOrdered(best lead.Paused) error {
	switch v := r.cluster.View.Load(); {
	case r.hasChanged(v, best):
		return errCandidateChanged
	case lead.Lost(v, best.Upstream, r.k.c.Clock()):
		return errCandidateLost
	default:
		return nil
	}
}

// afterOrder returns why a candidate isn't ordered again: if it was ordered before, that
// order may still take effect.
func (r *replacement) afterOrder(ordered bool, err error) error {
	if ordered && errors.Is(err, errNotAllPaused) {
		return errCandidateChanged
	}
	return err
}

// confirmAgain has the candidate confirm before an order, and announces it anew if the
// announcement lapses too early for that.
func (r *replacement) confirmAgain(ctx context.Context, best lead.Paused) error {
	if !r.coversOrder(best.Upstream) {
		r.announce(ctx, best.Upstream)
	}
	return r.confirmCandidate(ctx, best)
}

// order sends one order, and reports whether the platform has answered it. It doesn't wait
// for the answer once the candidate has changed or is lost.
func (r *replacement) order(ctx context.Context, record chervilladder.Leadership, best lead.Paused) (bool, error) {
	id := best.Upstream
	r.logState(id, record.Epoch)
	r.k.leadership.markOrdered(r.service, id)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	watched := make(chan struct{})
	recovery.Go(ctx, &r.k.running, r.k.c.Log, part, func(ctx context.Context) {
		defer close(watched)
		if r.cluster.Await(ctx, func(blackboard.ClusterView) bool { return r.checkOrdered(best) != nil }) {
			cancel()
		}
	})
	err := r.k.c.Promoter.Promote(ctx, record, r.service, id)
	cancel()
	<-watched
	r.log.WithFields(logrus.Fields{"candidate": id, "epoch": record.Epoch, "error": err}).Info("failover: promotion ordered")
	var refused *chervilladder.PromotionRefusedError
	switch {
	case err == nil:
		r.k.leadership.markAnswered(r.service, id, true)
		return true, nil
	case errors.As(err, &refused):
		r.k.leadership.markAnswered(r.service, id, false)
		return true, err
	default:
		return false, err
	}
}

// awaitPromotion waits until the candidate is observed as primary, with its log.
func (r *replacement) awaitPromotion(ctx context.Context, best lead.Paused) error {
	ctx, cancel := context.WithTimeout(ctx, effectTimeout)
	defer cancel()
	id := best.Upstream
	leads := func(v blackboard.ClusterView) bool { return v.Primary == id && v.Term > r.view.Term }
	over := func(v blackboard.ClusterView) bool { return leads(v) || r.checkOrdered(best) != nil }
	if !r.cluster.Await(ctx, over) {
		return errNotObserved
	}
	if v := r.cluster.View.Load(); leads(v) && !r.hasChanged(v, best) {
		return nil
	}
	if err := r.checkOrdered(best); err != nil {
		return err
	}
	return errNotObserved
}

// hasChanged reports whether a candidate has started again, or was found without its pause
// or without a part of its log, since it was chosen.
func (r *replacement) hasChanged(v blackboard.ClusterView, best lead.Paused) bool {
	o, known := v.Members[best.Upstream]
	if !known {
		return false // it is lost
	}
	reported := o.RequestedAt.After(r.pausedAt)
	lostPause := reported && r.unpaused == "" && !o.Status.Primary && o.Status.PauseTerm < r.term
	lostLog := reported && lacks(o.Status.Received, best.Received)
	return lostPause || lostLog || !o.Born.Equal(r.view.Members[best.Upstream].Born)
}

// lacks reports whether a log lacks the end of what it was before. Positions go on across
// terms, and the term of a primary's log may be its own.
func lacks(now, before chervilladder.Mark) bool {
	return !now.Covers(before) || now.Position < before.Position
}

// nextCandidate pauses the members that answer as replicas once more, the old primary among
// them if it has stepped down, and returns the most advanced one that wasn't ordered before.
// It returns false if there is none, or if the old primary still leads: it holds all commits
// and the changed candidate receives them from it.
func (r *replacement) nextCandidate(ctx context.Context) (lead.Paused, bool) {
	v := r.cluster.View.Load()
	if old, known := v.Members[r.view.Primary]; r.unpaused != "" && known && old.Status.Primary {
		return lead.Paused{}, false
	}
	r.endWatch()
	r.unpaused = "" // all are paused from here on
	conns := r.connectCandidates(ctx, v)
	defer closeAll(conns)
	var list []lead.Paused
	deadline := time.Now().Add(orderTimeout)
	for _, conn := range conns {
		status, err := r.sendPause(conn, deadline, chervilladder.CommandPause)
		if err == nil && !status.Primary {
			list = append(list, lead.Paused{Upstream: conn.member.ID, Received: status.Received, Leaving: conn.member.Leaves()})
		}
	}
	return lead.Candidate(list)
}

// connectCandidates opens connections to the members of the attempt that may be ordered in
// place of a changed candidate.
func (r *replacement) connectCandidates(ctx context.Context, v blackboard.ClusterView) []*orderConn {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var list []*orderConn
	for id, before := range r.view.Members {
		o, known := v.Members[id]
		if !known || r.changed[id] || !o.Answers() || o.Status.Primary || !o.Born.Equal(before.Born) {
			continue
		}
		if conn, err := r.connect(ctx, o); err == nil {
			list = append(list, conn)
		}
	}
	return list
}

// promotionPollInterval is the time between two requests for newer statuses while a
// promotion is awaited.
const promotionPollInterval = 40 * time.Millisecond

func (r *replacement) pollStatuses(ctx context.Context) {
	t := time.NewTicker(promotionPollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.cluster.PollTrigger.Ask()
		case <-ctx.Done():
			return
		}
	}
}
