package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

const (
	// lateOrderTime is the least time for which faults are injected while orders take effect
	// late.
	lateOrderTime = 20 * time.Second
	// maxOrderDelay and maxOrderRepeat bound how late an order takes effect, and how long
	// after that it does so again.
	maxOrderDelay  = 6 * time.Second
	maxOrderRepeat = 3 * time.Second
	// maxEntryDelay bounds how long after its start a member registers itself.
	maxEntryDelay = 1200 * time.Millisecond
	// drainTime is drain_ms of the settings; a member goes on for up to drainSlack more.
	drainTime  = 7 * time.Second
	drainSlack = 2 * time.Second
	// departTries and departInterval are how often a member that has drained tries to leave.
	departTries    = 40
	departInterval = 250 * time.Millisecond
)

// Primaries are out of reach or leave, members join, leave and start again, and the platform
// carries promotion orders out late or twice, all at once (regression: issue 47).
func TestSoakLateOrders(t *testing.T) {
	for _, r := range seedsToRun(nil) {
		r.faultTime = max(*faultTimeFlag, lateOrderTime)
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) {
			soak(t, r, scale{vms: 4, connections: ampleConnections, callers: 15, services: 3, spares: 2, inject: injectLateOrders})
		})
	}
}

// injectLateOrders is one round. What it injects outlasts it.
func injectLateOrders(w *world) {
	for n := range w.clusters {
		if w.rng.IntN(4) == 0 {
			continue
		}
		w.delayOrders(n)
		w.losePrimary(n)
		for range 1 + w.rng.IntN(4) {
			w.later(w.between(0, 4*time.Second), w.memberChange(n))
		}
	}
	if w.rng.IntN(2) == 0 {
		w.later(w.between(0, 2*time.Second), w.loseOrderAnswers())
	}
	time.Sleep(w.between(200*time.Millisecond, 2500*time.Millisecond))
	if w.rng.IntN(3) > 0 {
		w.interruptHolder()
	}
	time.Sleep(w.between(time.Second, 4*time.Second))
}

// delayOrders has the orders for a service take effect late, twice, or both.
func (w *world) delayOrders(n int) {
	k, d, kind := w.clusters[n], w.between(time.Second, 5*time.Second), w.rng.IntN(4)
	times := []time.Duration{promoteTime}
	if kind > 0 {
		times[0] += w.between(500*time.Millisecond, maxOrderDelay)
	}
	if kind < 2 {
		times = append(times, times[0]+w.between(100*time.Millisecond, maxOrderRepeat))
	}
	w.recordFault(d, "orders for %s take effect after %v", serviceID(n), times)
	k.SetPromoteTimes(func(chervilladder.UpstreamID) []time.Duration { return times })
	w.after(d, func() {
		k.SetPromoteTimes(nil)
		w.after(promoteTime+maxOrderDelay+maxOrderRepeat, func() {}) // the last orders take effect
	})
}

// loseOrderAnswers draws a time in which orders are carried out without an answer.
func (w *world) loseOrderAnswers() func() {
	d := w.between(300*time.Millisecond, 3*time.Second)
	return func() {
		w.recordFault(d, "answers to promotion calls are lost")
		w.cloudProxy.set(linkFault{stallToVM: true})
		w.after(d, func() { w.cloudProxy.set(linkFault{}) })
	}
}

// losePrimary has a primary crash, leave, or be cut off.
func (w *world) losePrimary(n int) {
	k, d, drains := w.clusters[n], w.between(500*time.Millisecond, 6*time.Second), drainTime+w.between(0, drainSlack)
	id, _ := k.Primary()
	var some []string
	for _, v := range w.vms {
		if w.rng.IntN(3) > 0 {
			some = append(some, v.name)
		}
	}
	kind := w.rng.IntN(8)
	switch {
	case id == "":
	case kind == 0:
		w.faultService(k, id, "down, with its log,", d, func(f *cluster.Faults) { f.Down = true })
	case kind == 1:
		w.drain(n, id, drains)
	case kind == 2:
		w.cutFromVMs(id, d)
		w.faultService(k, id, "without replication", d, func(f *cluster.Faults) { f.NoReplication = true })
	case kind <= 5 && len(some) > 0:
		w.cutFromVMs(id, d, some...)
	default:
		w.isolatePrimary(k, d)
	}
}

// cutFromVMs makes a member unreachable from the named VMs; none means all.
func (w *world) cutFromVMs(id chervilladder.UpstreamID, d time.Duration, vms ...string) {
	w.recordFault(d, "%s is cut from %v (none means all VMs)", id, vms)
	w.memberProxies[id].set(linkFault{stallToTarget: true, stallToVM: true, reject: true, vms: vms})
	w.after(d, func() { w.memberProxies[id].set(linkFault{}) })
}

// memberChange draws what befalls a member that doesn't lead.
func (w *world) memberChange(n int) func() {
	k, index, kind := w.clusters[n], w.rng.IntN(membersPerService+w.scale.spares), w.rng.IntN(8)
	d, drains := w.between(100*time.Millisecond, 3*time.Second), drainTime+w.between(0, drainSlack)
	entryAfter := w.between(0, maxEntryDelay)
	return func() {
		present, absent := w.members(n)
		primary, _ := k.Primary()
		id := present[index%len(present)]
		if id == primary {
			id = present[(index+1)%len(present)]
		}
		switch {
		case kind == 0 && len(present) > membersPerService:
			w.depart(n, id)
		case kind == 1 && len(present) > membersPerService:
			w.drain(n, id, drains)
		case kind <= 2 && len(absent) > 0:
			w.join(n, absent[index%len(absent)], entryAfter)
		case kind == 3:
			w.faultService(k, id, "down, then restarted,", d/2, func(f *cluster.Faults) { f.Down = true })
		case kind == 4:
			w.startEmpty(n, id, d/2, entryAfter)
		case kind <= 6:
			if ordered := w.lastOrdered(n); ordered != "" && ordered != primary {
				id = ordered
			}
			w.faultService(k, id, "without replication", d, func(f *cluster.Faults) { f.NoReplication = true })
		default:
			for _, id := range present {
				if id != primary {
					w.faultService(k, id, "without replication", d, func(f *cluster.Faults) { f.NoReplication = true })
				}
			}
		}
	}
}

// members returns the members of a service, and the ids under which one may join.
func (w *world) members(n int) (present, absent []chervilladder.UpstreamID) {
	for i := range membersPerService + w.scale.spares {
		if id := memberID(10*n + i); len(w.clusters[n].Holders(id)) > 0 {
			present = append(present, id)
		} else if !w.orderUnderWay(n, id) {
			absent = append(absent, id)
		}
	}
	return present, absent
}

// join adds a member without a log under an id that none has. It registers itself later.
func (w *world) join(n int, id chervilladder.UpstreamID, entryAfter time.Duration) {
	if len(w.clusters[n].Holders(id)) > 0 {
		return
	}
	w.recordFault(entryAfter, "%s starts without a log or an entry", id)
	w.env.StartAgain(id)
	w.env.SetListed(id, false)
	w.after(entryAfter, func() { w.env.SetListed(id, true) })
	w.clusters[n].Add(chervilladder.Registered{ID: id, Service: serviceID(n), DataCentre: "a", Slots: 3})
}

// startEmpty has a replica start again, without its log, under its id. One that an order may
// still make the primary keeps its log: the order can't be recalled, and the new primary
// would be empty.
func (w *world) startEmpty(n int, id chervilladder.UpstreamID, d, entryAfter time.Duration) {
	if w.orderUnderWay(n, id) || !w.depart(n, id) {
		return
	}
	w.after(d, func() { w.join(n, id, entryAfter) })
}

// lastOrdered returns the member that was ordered last to lead; empty if none was.
func (w *world) lastOrdered(n int) chervilladder.UpstreamID {
	orders := w.clusters[n].Promotions()
	if len(orders) == 0 {
		return ""
	}
	return orders[len(orders)-1].Upstream
}

// orderUnderWay reports whether an order for a member may not have taken effect yet.
func (w *world) orderUnderWay(n int, id chervilladder.UpstreamID) bool {
	for _, p := range w.clusters[n].Promotions() {
		if p.Upstream == id && time.Since(p.At) < promoteTime+maxOrderDelay+maxOrderRepeat {
			return true
		}
	}
	return false
}

// drain has a member announce that it leaves, and leave later.
func (w *world) drain(n int, id chervilladder.UpstreamID, d time.Duration) {
	w.recordFault(d, "%s drains", id)
	w.env.Drain(id)
	w.after(d, func() { w.departLater(n, id, departTries) })
}

// departLater has a member leave as soon as it may, after so many tries at the most. If few
// are left, another one joins.
func (w *world) departLater(n int, id chervilladder.UpstreamID, tries int) {
	if !w.depart(n, id) {
		if tries > 1 {
			w.after(departInterval, func() { w.departLater(n, id, tries-1) })
		}
		return
	}
	if present, absent := w.members(n); len(present) < membersPerService && len(absent) > 0 {
		w.join(n, absent[0], 0)
	}
}

// depart has a member leave for good, if another member holds all of its log: what nobody
// holds any more no promotion can keep.
func (w *world) depart(n int, id chervilladder.UpstreamID) bool {
	if len(w.clusters[n].Holders(id)) < 2 {
		return false
	}
	w.record("%s is gone, with its log", id)
	w.clusters[n].Remove(id)
	return true
}
