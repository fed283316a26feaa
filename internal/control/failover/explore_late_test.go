package failover_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Limits of the plays of late orders.
const (
	// latestEffect is how long after its acceptance an order takes effect at the latest.
	latestEffect = 6 * time.Second
	// orderUnderWay is how long after an order it may still be under way: the time of a call
	// that is held up, and latestEffect.
	orderUnderWay = 12 * time.Second
)

// The disruptions of plays of late orders.
var (
	latePrimaryKinds = []string{"dark", "down", "cut-off", "drain", "drain"}
	lateEffectKinds  = []string{"effect-late", "effect-late", "effect-late", "effect-twice"}
	// lateReplicaKinds are the changes of a replica. None starts again without its log while
	// an order for it is under way: it would be promoted empty, and no order can be recalled.
	lateReplicaKinds = []string{"join", "join", "leave", "expire", "deaf", "deaf", "down", "reborn"}
	lateVMKinds      = []string{
		"kill", "kill", "freeze", "freeze", "resign", "order-late", "order-lost", "record-cut", "commands-late", "cut", "hidden", "peers-cut",
	}
)

// drawLatePlan draws a play in which the primary fails or leaves, replicas join, leave or
// change, and orders of the replacement take effect late or twice; the VM that gives an order
// may fail in between.
func drawLatePlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 9))
	p := plan{
		seed: seed, lateOrders: true, members: 3 + r.IntN(2), vms: 2 + r.IntN(3), entryTerms: r.IntN(3) > 0,
		promoteTime: draw(r, 250*time.Millisecond, 900*time.Millisecond),
	}
	first := draw(r, 200*time.Millisecond, 3*time.Second)
	p.add(disruption{kind: pick(r, latePrimaryKinds), member: primary, at: atTime, after: first, lasts: draw(r, time.Second, latestEffect)})
	for nth := range 1 + r.IntN(3) {
		p.add(disruption{kind: pick(r, lateEffectKinds), member: primary, at: atEffect, nth: 1 + nth, lasts: draw(r, 500*time.Millisecond, latestEffect)})
	}
	for range 1 + r.IntN(3) {
		d := disruption{kind: pick(r, lateReplicaKinds), member: r.IntN(p.members), lasts: draw(r, 50*time.Millisecond, 5*time.Second)}
		if r.IntN(2) == 0 {
			d.member = candidate
		}
		p.add(d.meets(r, first, p.vms))
	}
	for range r.IntN(3) {
		d := disruption{kind: pick(r, lateVMKinds), member: r.IntN(p.members), lasts: draw(r, 50*time.Millisecond, 3*time.Second)}
		p.add(d.meets(r, first, p.vms))
	}
	if r.IntN(3) == 0 { // the next primary fails, too
		again := first + draw(r, 2*time.Second, 9*time.Second)
		p.add(disruption{kind: pick(r, primaryKinds[:2]), member: primary, at: atTime, after: again, lasts: draw(r, 500*time.Millisecond, 5*time.Second)})
	}
	return p
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// add numbers a disruption and adds it.
func (p *plan) add(d disruption) {
	d.number = len(p.list)
	p.list = append(p.list, d)
}

// meets returns the disruption with a time around the first one's, or tied to a step of the
// replacement.
func (d disruption) meets(r *rand.Rand, first time.Duration, vms int) disruption {
	d.vm = r.IntN(vms)
	if r.IntN(3) == 0 {
		d.at, d.after = atTime, max(0, first+draw(r, -1500*time.Millisecond, 7*time.Second))
		return d
	}
	steps := []step{atOrder, atOrder, atPause, atStepDown, atRecord}
	d.at, d.nth, d.after = pick(r, steps), 1+r.IntN(3), draw(r, 0, 50*time.Millisecond)
	if r.IntN(2) == 0 {
		d.after = draw(r, 0, 4*time.Second)
	}
	if r.IntN(3) > 0 {
		d.vm = -1
	}
	return d
}

// Plays in which replicas join, leave or change while an order is under way that takes effect
// seconds late or twice (regression: issue 47). No promotion may lose an acknowledged commit,
// and work is served again afterwards.
func TestExploreLateOrders(t *testing.T) { exploreAll(t, drawLatePlan) }
