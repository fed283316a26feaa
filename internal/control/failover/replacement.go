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
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// replacement is one attempt to give a cluster a new primary.
type replacement struct {
	k       *Controller
	service chervilladder.ServiceID
	cluster *blackboard.Cluster
	view    blackboard.ClusterView
	cause   lead.Cause
	log     *logrus.Entry
	// acted is when this VM last acted on the cluster.
	acted time.Time
	// term is that of the new primary.
	term chervilladder.Term
	// until is until when this VM may order a promotion.
	until time.Time
	// pausedAt is when the replicas had been paused, goesOn the one that was not:
	// the old primary goes on with its confirmations. It is empty if all were.
	pausedAt time.Time
	goesOn   chervilladder.UpstreamID
	// deposed is set once the old primary has been made a replica. It is told again
	// when its successor shows: it may have started anew meanwhile.
	deposed atomic.Bool
}

// The reasons why nothing was promoted.
var (
	errOutOfSight  = errors.New("a replica that may hold an acknowledged commit is out of sight")
	errBehind      = errors.New("no replica holds all that a replica which is gone may have confirmed")
	errNoCandidate = errors.New("no replica can be promoted")
	errTooLate     = errors.New("the duty was recorded too long ago to order a promotion")
	errChanged     = errors.New("the cluster looks different by now")
	errNoEffect    = errors.New("the promotion does not show")
)

// supersededError reports a member that leads a later term by now: an earlier order
// has taken effect.
type supersededError struct {
	By   chervilladder.UpstreamID
	Term chervilladder.Term
}

// Error names the member.
func (e *supersededError) Error() string {
	return fmt.Sprintf("%s leads term %d by now", e.By, e.Term)
}

// run pauses the replicas, promotes the one that holds most, and lets the
// others follow it.
func (r *replacement) run(ctx context.Context) error {
	r.term = r.nextTerm()
	if err := r.lookAgain(ctx, r.acted); err != nil {
		return err
	}
	if r.replaces() {
		if err := r.hopeless(); err != nil {
			return err // before a replica is paused for nothing
		}
	}
	duty, err := r.begin(ctx)
	if err == nil {
		err = r.lookAgain(ctx, r.k.duty.since())
	}
	if err != nil {
		return err
	}
	switch r.cause {
	case lead.CauseForgotten:
		if err := r.leads(ctx); err != nil {
			return err
		}
		return r.resume(ctx, lead.Forgotten(r.view))
	case lead.CauseOutdated:
		return r.stepDown(ctx, lead.Outdated(r.view))
	}
	leader, err := r.succeed(ctx, duty)
	var superseded *supersededError
	if errors.As(err, &superseded) {
		leader = superseded.By // the paused replicas are to follow it
	}
	if leader != "" {
		err = errors.Join(err, r.release(ctx, leader))
	}
	return err
}

// begin records that this VM replaces the primary.
func (r *replacement) begin(ctx context.Context) (chervilladder.Duty, error) {
	duty, until, err := r.k.duty.begin(ctx, r.service, r.term)
	if err == nil {
		r.until = until
	}
	return duty, err
}

// alone reports whether nobody can have taken the duty over by the time that an order
// given now arrives.
func (r *replacement) alone() bool {
	return r.k.c.Clock().Before(r.until.Add(aloneFor - validFor))
}

// stayAlone records the duty again unless that was lately done. Another VM may have
// taken it over while this one stood still, and paused the same replicas.
func (r *replacement) stayAlone(ctx context.Context) error {
	if r.alone() {
		return nil
	}
	_, err := r.begin(ctx)
	return err
}

// succeed pauses the replicas and promotes the one that holds most. It returns the
// new primary.
func (r *replacement) succeed(ctx context.Context, duty chervilladder.Duty) (chervilladder.UpstreamID, error) {
	choosing, chosen := context.WithCancel(ctx)
	defer chosen()
	best, err := r.choose(choosing)
	var superseded *supersededError
	if err != nil && !errors.As(err, &superseded) {
		return "", errors.Join(err, r.giveUp(ctx))
	}
	if err != nil {
		return "", err
	}
	r.k.duty.order(r.service)
	if err := r.promote(ctx, duty, best.Upstream); err != nil {
		return "", err
	}
	if _, err := r.begin(ctx); err != nil {
		r.log.WithError(err).Info("failover: duty not recorded again after the order")
	}
	if err := r.awaitEffect(ctx, best.Upstream); err != nil {
		return "", err
	}
	r.k.duty.settleOrder(r.service)
	return best.Upstream, nil
}

// lookAgain makes sure that what is to be done follows from evidence gathered since
// a moment: when this VM last acted, or took the duty over. Until then somebody may
// have done it. Members that are too busy to tell are waited for only so long; each
// is asked again by the order to pause.
func (r *replacement) lookAgain(ctx context.Context, since time.Time) error {
	if lead.SeenSince(r.view, since) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.cluster.Wanted.Ask()
	r.cluster.Await(ctx, func(v blackboard.ClusterView) bool { return lead.SeenSince(v, since) })
	r.view = r.cluster.View.Load()
	if lead.Assess(r.view, r.cluster.Testimony.Load(), r.k.c.Clock()) != r.cause || r.nextTerm() != r.term {
		return errChanged
	}
	return nil
}

// replaces reports whether the primary is to be replaced, and not only a member
// to be put right.
func (r *replacement) replaces() bool {
	return r.cause != lead.CauseForgotten && r.cause != lead.CauseOutdated
}

// leads asks the primary whether it leads now. What was seen of it may be as old
// as a question and its timeout.
func (r *replacement) leads(ctx context.Context) error {
	status, err := r.order(ctx, r.view.Members[r.view.Primary], chervilladder.Command{Kind: chervilladder.CommandStatus})
	if err == nil && (!status.Primary || status.Term != r.view.Term) {
		err = errNoEffect
	}
	return err
}

// choose pauses the replicas and returns the one to promote once every lease
// on the old primary has ended.
func (r *replacement) choose(ctx context.Context) (lead.Paused, error) {
	paused, err := r.pause(ctx)
	if err != nil {
		return lead.Paused{}, err
	}
	r.pausedAt = r.k.c.Clock()
	settled := r.pausedAt.Add(lead.Settle)
	best, ok := lead.Candidate(paused)
	if !ok {
		return best, errNoCandidate
	}
	if r.goesOn != "" {
		best = find(paused, r.goesOn)
	}
	r.log.WithFields(logrus.Fields{"candidate": best.Upstream, "received": best.Received.String(), "paused": len(paused)}).Info("failover: replicas paused")
	if !best.Received.Covers(r.cluster.View.Load().Departed) {
		return best, errBehind
	}
	if r.goesOn == "" {
		r.depose(ctx, r.term)
	} else {
		go r.guard(ctx)
	}
	if err := r.sleepUntil(ctx, settled); err != nil {
		return best, err
	}
	if !best.Received.Covers(r.cluster.View.Load().Departed) {
		return best, errBehind
	}
	return best, nil
}

// hopeless returns why a replacement can't succeed by what is known.
func (r *replacement) hopeless() error {
	for id, s := range r.view.Members {
		if id != r.view.Primary && !s.Answers() {
			return fmt.Errorf("%w: %s", errOutOfSight, id)
		}
	}
	if !lead.HoldsDeparted(r.view) {
		return errBehind
	}
	return nil
}

// giveUp lets the replicas that were paused go on with the old primary. That
// is safe only if no promotion can take effect any more: with a new primary
// somewhere, they would confirm what the old one must not acknowledge. Where it
// isn't, they stay paused and show as an unfinished replacement.
func (r *replacement) giveUp(ctx context.Context) error {
	if !r.k.c.Clock().Before(r.until) || !r.k.duty.nothingOrdered(r.service) {
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

// nextTerm returns a term above all that were seen.
func (r *replacement) nextTerm() chervilladder.Term {
	term := r.view.Term
	for _, s := range r.view.Members {
		term = max(term, s.Status.Term, s.Status.Held)
	}
	return term + 1
}

// confirms reports whether a replica that was not paused holds all that the
// others hold.
func confirms(list []lead.Paused, spared chervilladder.UpstreamID) bool {
	best, ok := lead.Candidate(list)
	return ok && spared != "" && find(list, spared).Received.Covers(best.Received)
}

func find(list []lead.Paused, id chervilladder.UpstreamID) lead.Paused {
	for _, p := range list {
		if p.Upstream == id {
			return p
		}
	}
	return lead.Paused{}
}

// spared returns the replica that is not paused, or none.
func (r *replacement) spared() chervilladder.UpstreamID {
	if !r.cause.Planned() || len(r.view.Members) < 3 {
		return ""
	}
	var list []lead.Paused
	for id, s := range r.view.Members {
		if id != r.view.Primary && s.Answers() && !s.Leaves() {
			list = append(list, lead.Paused{Upstream: id, Received: s.Status.Received})
		}
	}
	best, _ := lead.Candidate(list)
	return best.Upstream
}

// promote gives the order, and again if its answer is lost, while the duty
// was recorded recently enough that nobody can have taken it over.
func (r *replacement) promote(ctx context.Context, d chervilladder.Duty, id chervilladder.UpstreamID) error {
	for {
		if v := r.cluster.View.Load(); v.Term > r.view.Term && v.Primary != "" {
			return &supersededError{By: v.Primary, Term: v.Term}
		}
		if !r.k.c.Clock().Before(r.until) {
			var err error
			if d, err = r.begin(ctx); err != nil {
				return err
			}
			if !r.k.c.Clock().Before(r.until) {
				return errTooLate
			}
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.k.c.Promoter.Promote(ctx, d, r.service, id)
		cancel()
		r.log.WithFields(logrus.Fields{"candidate": id, "epoch": d.Epoch, "error": err}).Info("failover: promotion ordered")
		var refused *chervilladder.PromotionRefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if err := r.sleepUntil(ctx, r.k.c.Clock().Add(backOff)); err != nil {
			return err
		}
		if v := r.cluster.View.Load(); v.Primary == id {
			return nil
		}
	}
}

// awaitEffect waits until the member says that it leads.
func (r *replacement) awaitEffect(ctx context.Context, id chervilladder.UpstreamID) error {
	ctx, cancel := context.WithTimeout(ctx, effectTimeout)
	defer cancel()
	go r.press(ctx)
	if r.goesOn == "" {
		go r.insist(ctx)
	}
	leads := func(v blackboard.ClusterView) bool { return v.Primary == id && v.Term > r.view.Term }
	if !r.cluster.Await(ctx, leads) {
		return errNoEffect
	}
	return nil
}

// pressEvery is how often evidence is asked for while a promotion is awaited.
const pressEvery = 40 * time.Millisecond

func (r *replacement) press(ctx context.Context) {
	t := time.NewTicker(pressEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.cluster.Wanted.Ask()
		case <-ctx.Done():
			return
		}
	}
}

// sleepUntil waits for a moment of the VM's own clock.
func (r *replacement) sleepUntil(ctx context.Context, moment time.Time) error {
	t := time.NewTimer(moment.Sub(r.k.c.Clock()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
