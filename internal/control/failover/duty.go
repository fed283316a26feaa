package failover

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
)

// The times that keep two holders apart. A holder orders promotions only for
// validFor after it has written the record; another VM takes the duty over
// only when it has seen the record unchanged for takeOverAfter.
const (
	validFor      = time.Second
	takeOverAfter = 2 * time.Second
	// aloneFor is how long after it has written the record a holder gives orders
	// that name no term: nobody can have taken the duty over before they arrive.
	aloneFor = takeOverAfter - orderTimeout
	// orderedFor is how long after a change of the holder an order of the
	// former one may still take effect.
	orderedFor = 10 * time.Second
)

// settleRetry is the pause before the record is first made again.
const settleRetry = 500 * time.Millisecond

// duty is this VM's part in the record of who may order promotions.
type duty struct {
	self   chervilladder.VMID
	record chervilladder.DutyRecord
	log    *logrus.Logger
	clock  func() time.Time

	mu sync.Mutex
	// seen is the record as last read, and since when it has been so.
	seen      chervilladder.Duty
	seenSince time.Time
	// heldSince is since when this process has held the duty without a
	// break; ordered are the services for which it gave an order that has
	// not been seen to take effect.
	heldSince time.Time
	ordered   map[chervilladder.ServiceID]bool
}

// order notes that a promotion is about to be ordered.
func (d *duty) order(s chervilladder.ServiceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ordered == nil {
		d.ordered = make(map[chervilladder.ServiceID]bool)
	}
	d.ordered[s] = true
}

// settleOrder notes that an order has taken effect.
func (d *duty) settleOrder(s chervilladder.ServiceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ordered, s)
}

// nothingOrdered reports whether no promotion of a service is under way.
func (d *duty) nothingOrdered(s chervilladder.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.ordered[s] && !d.heldSince.IsZero() && d.clock().Sub(d.heldSince) >= orderedFor
}

// since returns since when this process has held the duty without a break.
func (d *duty) since() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heldSince
}

// notMineError reports a duty that another VM holds.
type notMineError struct{ Holder chervilladder.VMID }

// Error names the holder.
func (e *notMineError) Error() string { return "the duty is held by " + string(e.Holder) }

// settle makes the record if there is none, so that a holder is known before
// one is needed.
func (d *duty) settle(ctx context.Context) {
	for ctx.Err() == nil {
		current, err := d.read(ctx)
		if err == nil && current.Holder != "" {
			return
		}
		if err == nil {
			if _, err = d.write(ctx, d.claimed(current)); err == nil {
				return
			}
		}
		t := time.NewTimer(settleRetry)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// claimed returns a record with this VM as its holder.
func (d *duty) claimed(current chervilladder.Duty) chervilladder.Duty {
	if current.Holder != d.self || current.Epoch == 0 {
		current.Epoch++
	}
	current.Holder = d.self
	return current
}

// begin writes that this VM replaces a primary, and returns the record and
// until when it may order the promotion. It takes the duty over if its holder
// has let time pass; until then it returns a *notMineError.
func (d *duty) begin(ctx context.Context, service chervilladder.ServiceID, term chervilladder.Term) (chervilladder.Duty, time.Time, error) {
	current, since := d.last()
	if since.IsZero() || current.Holder != d.self {
		var err error
		if current, err = d.read(ctx); err != nil {
			return current, time.Time{}, err
		}
		_, since = d.last()
	}
	if current.Holder != d.self && current.Holder != "" && d.clock().Sub(since) < takeOverAfter {
		return current, time.Time{}, &notMineError{Holder: current.Holder}
	}
	next := d.claimed(current)
	next.Service, next.Term = service, term
	asked := d.clock()
	written, err := d.write(ctx, next)
	return written, asked.Add(validFor), err
}

// write replaces the record and notes what it then is.
func (d *duty) write(ctx context.Context, next chervilladder.Duty) (chervilladder.Duty, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next.Writes++
	written, err := d.record.Write(ctx, next)
	var conflict *chervilladder.DutyConflictError
	switch {
	case err == nil:
		d.note(written)
		d.log.WithFields(logrus.Fields{
			"holder": written.Holder, "epoch": written.Epoch, "service": written.Service, "term": written.Term, "revision": written.Revision,
		}).Info("failover: duty recorded")
	case errors.As(err, &conflict):
		d.note(conflict.Current)
	default:
		d.forget()
	}
	return written, err
}

func (d *duty) read(ctx context.Context) (chervilladder.Duty, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := d.record.Read(ctx)
	if err == nil {
		d.note(current)
	}
	return current, err
}

func (d *duty) last() (chervilladder.Duty, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen, d.seenSince
}

func (d *duty) note(current chervilladder.Duty) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current != d.seen || d.seenSince.IsZero() {
		d.seen, d.seenSince = current, d.clock()
	}
	switch {
	case current.Holder != d.self:
		d.heldSince = time.Time{}
	case d.heldSince.IsZero():
		d.heldSince = d.clock()
	}
}

// forget drops what is known of the record after a write whose answer was
// lost.
func (d *duty) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen, d.seenSince, d.heldSince = chervilladder.Duty{}, time.Time{}, time.Time{}
}

// giveUp empties the record if this VM holds the duty.
func (d *duty) giveUp(ctx context.Context) {
	current, since := d.last()
	if since.IsZero() || current.Holder != d.self {
		return
	}
	current.Holder = ""
	if _, err := d.write(ctx, current); err != nil {
		d.log.WithError(err).Warn("failover: duty not given up")
	}
}
