package cluster

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// PromoteTimes returns how long after an order of a member's promotion it takes effect: once
// after each of the times, on the member as it is then.
type PromoteTimes func(chervilladder.UpstreamID) []time.Duration

// SetPromoteTimes replaces Config.PromoteTime for the orders from now on. The function is
// called for each order that is accepted, and must not call the Cluster.
func (k *Cluster) SetPromoteTimes(f PromoteTimes) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.promoteTimes = f
}

// Promote orders the promotion of a member, which takes effect after PromoteTime, or as
// SetPromoteTimes says.
// The error is a *chervilladder.PromotionRefusedError if the member is down or unknown;
// Promotions returns such an order too.
func (k *Cluster) Promote(holder chervilladder.VMID, epoch chervilladder.Epoch, id chervilladder.UpstreamID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.promotions = append(k.promotions, Promotion{Holder: holder, Epoch: epoch, Upstream: id, At: time.Now()})
	m, ok := k.members[id]
	if !ok || m.faults.Down {
		return &chervilladder.PromotionRefusedError{Upstream: id, Status: 409}
	}
	if m == k.currentPrimary() {
		return nil
	}
	for _, after := range k.timesOf(id) {
		time.AfterFunc(after, func() { k.promote(m) })
	}
	return nil
}

func (k *Cluster) timesOf(id chervilladder.UpstreamID) []time.Duration {
	if k.promoteTimes == nil {
		return []time.Duration{k.config.PromoteTime}
	}
	return k.promoteTimes(id)
}

// promote makes a member the primary of the next term.
func (k *Cluster) promote(m *member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.faults.Down || m == k.currentPrimary() {
		return
	}
	for _, o := range k.members {
		k.top = max(k.top, o.term)
	}
	k.top++
	m.primary, m.pauseTerm, m.term = true, 0, k.top
	k.recordEffect(m)
	k.stepDownLater()
	k.replicate()
	k.wake()
}

// recordEffect records that a member has become primary, and the acknowledged commits
// that its log lacks.
func (k *Cluster) recordEffect(m *member) {
	e := Effect{Upstream: m.ID, Term: m.term, At: time.Now()}
	held := make(map[chervilladder.UpstreamID]bool)
	var kept []Ack
	for _, a := range k.acks {
		if m.holds(a.Entry) {
			kept = append(kept, a)
			continue
		}
		e.Lost = append(e.Lost, a)
		for _, o := range k.members {
			if o.holds(a.Entry) && !held[o.ID] {
				held[o.ID] = true
				e.HeldBy = append(e.HeldBy, o.ID)
			}
		}
	}
	k.acks, k.effects = kept, append(k.effects, e)
}

func (m *member) holds(e Entry) bool {
	i := int(e.Mark.Position)
	return len(m.log) >= i && m.log[i-1].Mark == e.Mark
}

// stepDownLater has outdated primaries become replicas after StepsDownAfter.
func (k *Cluster) stepDownLater() {
	if k.config.StepsDownAfter == 0 {
		return
	}
	for _, m := range k.members {
		if k.reachesNewer(m) {
			time.AfterFunc(k.config.StepsDownAfter, func() { k.stepDown(m) })
		}
	}
}

func (k *Cluster) reachesNewer(m *member) bool {
	p := k.currentPrimary()
	return m.primary && p.term > m.term && !m.faults.Down && !m.faults.NoReplication && !p.faults.Down && !p.faults.NoReplication
}

// stepDown makes an outdated primary a replica.
func (k *Cluster) stepDown(m *member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reachesNewer(m) {
		m.primary, m.arrivals = false, make([]arrival, len(m.log))
		k.replicate()
		k.wake()
	}
}
