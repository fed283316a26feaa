package failover

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// pendingOrders are the promotions that this process has ordered and that may still take
// effect.
type pendingOrders map[chervilladder.ServiceID]map[chervilladder.UpstreamID]pendingOrder

// pendingOrder stands for the orders for one member.
type pendingOrder struct {
	// at is when the last one was given.
	at time.Time
	// unanswered is how many of them the platform hasn't answered. It may still carry them
	// out, also after another one has taken effect.
	unanswered int
	// accepted is set once the platform has accepted one, and effective once one was seen
	// to take effect.
	accepted, effective bool
}

// markOrdered records that a promotion is about to be ordered.
func (l *leadership) markOrdered(s chervilladder.ServiceID, id chervilladder.UpstreamID) {
	l.changePending(s, id, func(o pendingOrder) pendingOrder {
		now := l.clock()
		if now.Sub(o.at) >= lateOrderLimit {
			o = pendingOrder{}
		}
		o.at, o.effective = now, false
		o.unanswered++
		return o
	})
}

// markAnswered records that the platform has accepted or refused an order.
func (l *leadership) markAnswered(s chervilladder.ServiceID, id chervilladder.UpstreamID, accepted bool) {
	l.changePending(s, id, func(o pendingOrder) pendingOrder {
		o.unanswered--
		o.accepted = o.accepted || accepted
		return o
	})
}

// markEffective records that a promotion was observed to take effect.
func (l *leadership) markEffective(s chervilladder.ServiceID, id chervilladder.UpstreamID) {
	l.changePending(s, id, func(o pendingOrder) pendingOrder {
		o.effective = true
		return o
	})
}

// changePending changes what is pending for a member, and removes it if nothing is.
func (l *leadership) changePending(s chervilladder.ServiceID, id chervilladder.UpstreamID, change func(pendingOrder) pendingOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orders == nil {
		l.orders = make(pendingOrders)
	}
	if l.orders[s] == nil {
		l.orders[s] = make(map[chervilladder.UpstreamID]pendingOrder)
	}
	o := change(l.orders[s][id])
	if o.unanswered == 0 && !o.accepted {
		delete(l.orders[s], id)
		return
	}
	l.orders[s][id] = o
}

// orderPendingFor returns for how long an order of this process for a member may still take
// effect, and whether each of them was answered and one was seen to take effect.
func (l *leadership) orderPendingFor(s chervilladder.ServiceID, id chervilladder.UpstreamID) (lasts time.Duration, effective bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, pending := l.orders[s][id]
	if !pending {
		return 0, false
	}
	return max(0, lateOrderLimit-l.clock().Sub(o.at)), o.effective && o.unanswered == 0
}

// noPromotionPending reports whether no promotion of a service can be under way, by an
// order of this process or of a former holder. An order that has taken effect doesn't count,
// nor one for a member that is passed over.
func (l *leadership) noPromotionPending(s chervilladder.ServiceID, passOver func(chervilladder.UpstreamID) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for id, o := range l.orders[s] {
		if now.Sub(o.at) < lateOrderLimit && !o.effective && !passOver(id) {
			return false
		}
	}
	return !l.heldSince.IsZero() && (l.unpaused[s] || now.Sub(l.heldSince) >= lateOrderLimit)
}

// markUnpaused records that no replica of a service was found paused since this process
// holds the leadership.
func (l *leadership) markUnpaused(s chervilladder.ServiceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unpaused == nil {
		l.unpaused = make(map[chervilladder.ServiceID]bool)
	}
	l.unpaused[s] = !l.heldSince.IsZero()
}
