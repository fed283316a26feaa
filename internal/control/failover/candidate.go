package failover

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// choose returns the replica to promote. If a member has joined, started again or been
// resumed since the others were paused, it may have confirmed commits that they lack, so
// all are paused again, this one included.
func (r *replacement) choose(ctx context.Context) (lead.Paused, error) {
	for round := 1; ; round++ {
		best, err := r.chooseOnce(ctx)
		if !errors.Is(err, errNotAllPaused) || round == maxPauseRounds {
			return best, err
		}
		r.endWatch()
		r.addMembers(r.cluster.View.Load())
		r.addRegistered()
	}
}

// maxPauseRounds is how often one attempt pauses the replicas.
const maxPauseRounds = 3

// chooseOnce pauses the replicas, waits for lead.PauseBeforePromotion, and returns the one to
// promote. The leases on the old primary expire during the promotion, which takes longer
// than the difference between lead.Lease and lead.PauseBeforePromotion.
func (r *replacement) chooseOnce(ctx context.Context) (lead.Paused, error) {
	r.endWatch()
	r.unpaused = ""
	paused, err := r.pause(ctx)
	if err != nil {
		return lead.Paused{}, err
	}
	r.pausedAt = r.k.c.Clock()
	promoteAfter := r.pausedAt.Add(lead.PauseBeforePromotion)
	best, ok := lead.Candidate(paused)
	if !ok {
		return best, errNoCandidate
	}
	if r.unpaused != "" {
		best = findPaused(paused, r.unpaused)
	}
	r.log.WithFields(logrus.Fields{"candidate": best.Upstream, "received": best.Received.String(), "paused": len(paused)}).Info("failover: replicas paused")
	r.announce(ctx, best.Upstream)
	if r.unpaused == "" {
		if err := r.checkHeld(best); err != nil {
			return best, err
		}
		r.demoteOldPrimary(ctx, r.term)
	} else {
		r.watchUnpaused(ctx)
	}
	if err := r.sleepUntil(ctx, promoteAfter); err != nil {
		return best, err
	}
	if err := r.readUpstreams(ctx); err != nil {
		return best, err
	}
	if r.anyRegisteredSince() {
		return best, errNotAllPaused
	}
	if v := r.cluster.View.Load(); r.unpaused == "" && r.mayConfirm(v) {
		return best, errNotAllPaused
	}
	return best, r.confirmCandidate(ctx, best)
}

// addMembers includes members in the attempt that have joined or started again since it
// began.
func (r *replacement) addMembers(v blackboard.ClusterView) {
	members := maps.Clone(r.view.Members)
	for id, o := range v.Members {
		if before, known := members[id]; id != r.view.Primary && (!known || !o.Born.Equal(before.Born)) {
			members[id] = o
		}
	}
	r.view.Members = members
}

// checkFeasible returns why a replacement can't succeed by the last observed statuses.
func (r *replacement) checkFeasible() error {
	for id, o := range r.view.Members {
		if id != r.view.Primary && !o.Answers() {
			return fmt.Errorf("%w: %s", errUnreachable, id)
		}
	}
	if !lead.CoversDeparted(r.view) {
		return &behindError{Needed: r.view.DepartedMark}
	}
	return nil
}

// chooseUnpaused returns the replica that is to be left running, or none.
func (r *replacement) chooseUnpaused() chervilladder.UpstreamID {
	if !r.cause.Planned() || len(r.view.Members) < 3 {
		return ""
	}
	var list []lead.Paused
	for id, o := range r.view.Members {
		if id != r.view.Primary && o.Answers() && !o.Leaves() {
			list = append(list, lead.Paused{Upstream: id, Received: o.Status.Received})
		}
	}
	best, _ := lead.Candidate(list)
	return best.Upstream
}

// holdsAll reports whether a replica holds all that the others hold.
func holdsAll(list []lead.Paused, id chervilladder.UpstreamID) bool {
	best, ok := lead.Candidate(list)
	return ok && id != "" && findPaused(list, id).Received.Covers(best.Received)
}

func findPaused(list []lead.Paused, id chervilladder.UpstreamID) lead.Paused {
	for _, p := range list {
		if p.Upstream == id {
			return p
		}
	}
	return lead.Paused{}
}

// startedAgain reports whether a member is gone or has started again since the attempt
// chose it: it may have lost its log.
func (r *replacement) startedAgain(id chervilladder.UpstreamID) bool {
	o, known := r.cluster.View.Load().Members[id]
	return !known || !o.Born.Equal(r.view.Members[id].Born)
}
