package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// These times rule out that two VMs order promotions at once: a holder orders promotions
// only within validFor of its last write of the record, and another VM takes over only
// after it has observed the record unchanged for takeOverAfter.
const (
	validFor      = time.Second
	takeOverAfter = 2 * time.Second
	// exclusiveFor is how long after its last write of the record a holder gives orders
	// that carry no term: no other VM can have taken over before they arrive.
	exclusiveFor = takeOverAfter - orderTimeout
	// lateOrderLimit is how long after a change of the holder an order of the former
	// holder may still take effect.
	lateOrderLimit = 10 * time.Second
)

// initRetryPause is the mean pause between two attempts to create or claim the record.
const initRetryPause = 500 * time.Millisecond

// leadership is this VM's access to the record of which VM may order promotions.
type leadership struct {
	self   chervilladder.VMID
	record chervilladder.LeadershipRecord
	log    *logrus.Logger
	clock  func() time.Time

	// acquiring serialises the attempts of this VM: each writes the record on the
	// revision that the one before it has written.
	acquiring *semaphore.Weighted

	mu sync.Mutex
	// observed is the record as last read or written, unchanged since observedSince.
	observed      chervilladder.Leadership
	observedSince time.Time
	// heldSince is since when this process has held the leadership without a break.
	heldSince time.Time
	// unpaused are the services in which this process, since it holds the leadership, has
	// found no replica paused before it paused any: no former holder's order is pending.
	unpaused map[chervilladder.ServiceID]bool
	orders   pendingOrders
}

// since returns since when this process has held the leadership without a break.
func (l *leadership) since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldSince
}

// notHolderError reports that another VM holds the leadership.
type notHolderError struct{ Holder chervilladder.VMID }

func (e *notHolderError) Error() string { return "leadership is held by " + string(e.Holder) }

// newEraError reports that the store has come back from an older copy, and that a holder
// of before may still give orders.
type newEraError struct{ Era chervilladder.Era }

func (e *newEraError) Error() string {
	return fmt.Sprintf("the leadership has not been taken yet in the store's era %d, and a holder of before may still give orders", e.Era)
}

// initialize creates the record, or claims it if it has no holder, so that a holder is
// known before one is needed.
func (l *leadership) initialize(ctx context.Context) {
	l.claimUntil(ctx, func(current chervilladder.Leadership) bool { return current.Holder != "" })
}

// reclaim claims the record in a new era of the store, unless another VM does.
func (l *leadership) reclaim(ctx context.Context) {
	l.claimUntil(ctx, func(current chervilladder.Leadership) bool { return current.Holder != "" && inForce(current) })
}

// claimUntil claims the record as soon as that is allowed, or until it is as wanted.
func (l *leadership) claimUntil(ctx context.Context, wanted func(chervilladder.Leadership) bool) {
	for ctx.Err() == nil {
		current, err := l.read(ctx)
		if err == nil && wanted(current) {
			return
		}
		_, since := l.lastObserved()
		if err == nil && l.checkClaim(current, since) == nil {
			if _, err = l.write(ctx, l.claimed(current)); err == nil {
				l.logTakeover(current, since)
				return
			}
		}
		t := time.NewTimer(retry.Jitter(initRetryPause))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// inForce reports whether the leadership was taken in the store's present era. A record of
// an earlier era, or none, doesn't show who took it last.
func inForce(current chervilladder.Leadership) bool {
	return current.Epoch.Era() == current.Revision.Era
}

// checkClaim returns an error if this VM may not write the record as its holder, which it
// has observed unchanged since a point in time. A holder of before a new era gives orders
// until validFor after its last write, and that was before the era began.
func (l *leadership) checkClaim(current chervilladder.Leadership, since time.Time) error {
	settled := l.clock().Sub(since) >= takeOverAfter
	switch {
	case !inForce(current) && !settled:
		return &newEraError{Era: current.Revision.Era}
	case current.Holder != l.self && current.Holder != "" && !settled:
		return &notHolderError{Holder: current.Holder}
	default:
		return nil
	}
}

// claimed returns the record with this VM as its holder, in a new epoch if it isn't the
// holder yet.
func (l *leadership) claimed(current chervilladder.Leadership) chervilladder.Leadership {
	if current.Holder != l.self || !inForce(current) || current.Epoch == 0 {
		current.Epoch = chervilladder.NextEpoch(current.Epoch, current.Revision)
	}
	current.Holder = l.self
	return current
}

// acquire records this VM's attempt on a service, and returns the record and until when
// this VM may order the promotion. It takes over the leadership if the holder has not
// written the record for takeOverAfter; until then it returns a *notHolderError. In a new
// era of the store it takes the leadership again, and returns a *newEraError for as long.
func (l *leadership) acquire(ctx context.Context, service chervilladder.ServiceID, term chervilladder.Term) (chervilladder.Leadership, time.Time, error) {
	if err := l.acquiring.Acquire(ctx, 1); err != nil {
		return chervilladder.Leadership{}, time.Time{}, err
	}
	defer l.acquiring.Release(1)
	current, since := l.lastObserved()
	if since.IsZero() || current.Holder != l.self || !inForce(current) {
		var err error
		if current, err = l.read(ctx); err != nil {
			return current, time.Time{}, err
		}
		_, since = l.lastObserved()
	}
	if err := l.checkClaim(current, since); err != nil {
		return current, time.Time{}, err
	}
	next := l.claimed(current)
	next.Service, next.Term = service, term
	requestedAt := l.clock()
	written, err := l.write(ctx, next)
	if err == nil && next.Epoch != current.Epoch {
		l.logTakeover(current, since)
	}
	return written, requestedAt.Add(validFor), err
}

// write replaces the record, and remembers what the store then holds. If that isn't
// known, it discards the observed record. A write that meets a new era of the store gives
// no right to order anything: it was judged by what the store held in an earlier one.
func (l *leadership) write(ctx context.Context, next chervilladder.Leadership) (chervilladder.Leadership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next.Writes++
	log := l.log.WithFields(logrus.Fields{"service": next.Service, "term": next.Term, "expected-revision": next.Revision})
	written, err := l.record.WriteLeadership(ctx, next)
	var conflict *chervilladder.LeadershipConflictError
	switch {
	case err == nil && written.Revision.Era != next.Revision.Era:
		l.observe(written)
		log.WithFields(logrus.Fields{"era": written.Revision.Era, "was-era": next.Revision.Era, "epoch": written.Epoch}).Warn("failover: leadership recorded in a new era of the store; taking it again")
		return written, &newEraError{Era: written.Revision.Era}
	case err == nil:
		l.observe(written)
		l.log.WithFields(logrus.Fields{
			"holder": written.Holder, "epoch": written.Epoch, "service": written.Service, "term": written.Term, "revision": written.Revision,
		}).Info("failover: leadership recorded")
	case errors.As(err, &conflict):
		l.observe(conflict.Current)
		log.WithFields(logrus.Fields{
			"holder": conflict.Current.Holder, "epoch": conflict.Current.Epoch, "current-service": conflict.Current.Service,
			"current-term": conflict.Current.Term, "revision": conflict.Current.Revision,
		}).Info("failover: leadership not recorded, as the record has changed")
	default:
		l.reset()
		log.WithError(err).Info("failover: leadership not recorded, or the answer was lost")
	}
	return written, err
}

// logTakeover logs the record before this VM took it over, unchanged since then as far as
// this VM has observed it.
func (l *leadership) logTakeover(former chervilladder.Leadership, since time.Time) {
	l.log.WithFields(logrus.Fields{
		"former-holder": former.Holder, "former-epoch": former.Epoch, "former-service": former.Service, "former-term": former.Term,
		"former-revision": former.Revision, "unchanged-for": l.clock().Sub(since).String(),
	}).Info("failover: leadership taken over")
}

func (l *leadership) read(ctx context.Context) (chervilladder.Leadership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := l.record.ReadLeadership(ctx)
	if err == nil {
		l.observe(current)
	}
	return current, err
}

func (l *leadership) lastObserved() (chervilladder.Leadership, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observed, l.observedSince
}

func (l *leadership) observe(current chervilladder.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current != l.observed || l.observedSince.IsZero() {
		l.observed, l.observedSince = current, l.clock()
	}
	switch {
	case current.Holder != l.self || !inForce(current):
		l.heldSince, l.unpaused = time.Time{}, nil
	case l.heldSince.IsZero():
		l.heldSince = l.clock()
	}
}

// reset discards the observed record after a write whose response was lost: the write
// may have been applied.
func (l *leadership) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed, l.observedSince = chervilladder.Leadership{}, time.Time{}
	l.heldSince, l.unpaused = time.Time{}, nil
}

// lostToANewEra reports whether this VM held the leadership before an era of the store.
func (l *leadership) lostToANewEra(era chervilladder.Era) bool {
	current, since := l.lastObserved()
	return !since.IsZero() && current.Holder == l.self && current.Epoch.Era() < era
}

// release clears the holder if this VM holds the leadership.
func (l *leadership) release(ctx context.Context) {
	current, since := l.lastObserved()
	if since.IsZero() || current.Holder != l.self {
		return
	}
	current.Holder = ""
	if _, err := l.write(ctx, current); err != nil {
		l.log.WithError(err).Warn("failover: leadership not released")
	}
}
