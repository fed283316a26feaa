package membership

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// probe is the current probe; its zero value means that there is none.
type probe struct {
	target   chervilladder.VMID
	sequence chervilladder.ProbeSequence
	// indirectAt is when to ask for indirect probes; zero once that was done.
	indirectAt time.Time
}

// relayedPing is a ping that was sent on behalf of another VM.
type relayedPing struct {
	requester chervilladder.Address
	sequence  chervilladder.ProbeSequence
	expires   time.Time
}

// maxRelayed bounds the number of unanswered relayed pings.
const maxRelayed = 64

// startProbe pings the next member.
func (m *StateMachine) startProbe(now time.Time) {
	x := m.nextTarget()
	if x == nil {
		return
	}
	m.probe = probe{
		target:     x.VM.ID,
		sequence:   m.nextSequence(),
		indirectAt: now.Add(m.config.DirectTimeout),
	}
	m.ping(x, m.probe.sequence)
}

// nextTarget returns the next member to probe. It goes through the members in rounds,
// each in a new random order, so that every member is probed within a bounded time.
func (m *StateMachine) nextTarget() *member {
	for range 2 {
		for len(m.probeOrder) > 0 {
			x, ok := m.members[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if ok && x.Health != chervilladder.HealthDead {
				return x
			}
		}
		m.shuffle()
	}
	return nil
}

func (m *StateMachine) shuffle() {
	m.probeOrder = nil
	for _, x := range m.sorted() {
		if x.Health != chervilladder.HealthDead {
			m.probeOrder = append(m.probeOrder, x.VM.ID)
		}
	}
	m.config.Random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// pingIndirectly pings the target again and asks other members to ping it too, since
// the fault may be in the path between the target and this VM.
func (m *StateMachine) pingIndirectly() {
	m.probe.indirectAt = time.Time{}
	target, ok := m.members[m.probe.target]
	if !ok {
		return
	}
	m.ping(target, m.probe.sequence)
	body := chervilladder.IndirectPing{
		Sequence: m.probe.sequence,
		Target:   target.VM.ID,
		Address:  target.VM.Peer,
	}
	for _, x := range m.randomAlive(m.config.IndirectProbes, target.VM.ID) {
		m.send(x.VM.Peer, body)
	}
}

// endProbe suspects a target that has not answered, and pings it with the suspicion
// so that it can refute it.
func (m *StateMachine) endProbe(now time.Time) {
	x, ok := m.members[m.probe.target]
	m.probe = probe{}
	if !ok || x.Health != chervilladder.HealthAlive {
		return
	}
	u := x.MemberUpdate
	u.Health = chervilladder.HealthSuspect
	m.apply(u, now)
	m.ping(x, m.nextSequence())
}

// expireSuspects declares dead the suspects that have not refuted the suspicion in
// time, and deletes expired relayed pings.
func (m *StateMachine) expireSuspects(now time.Time) {
	for _, x := range m.suspects {
		if now.Before(x.expires) {
			continue
		}
		u := x.MemberUpdate
		u.Health = chervilladder.HealthDead
		m.apply(u, now)
	}
	for id, r := range m.relayed {
		if now.After(r.expires) {
			delete(m.relayed, id)
		}
	}
}

func (m *StateMachine) forgetDead(now time.Time) {
	for id, x := range m.members {
		if x.Health == chervilladder.HealthDead && now.After(x.expires) {
			delete(m.members, id)
			m.changed = true
		}
	}
}

// ping pings a member. If the member counts as suspect or dead, the ping carries that
// state, so that the member can refute it.
func (m *StateMachine) ping(x *member, s chervilladder.ProbeSequence) {
	m.send(x.VM.Peer, chervilladder.Ping{Sequence: s, Target: x.VM.ID}, m.suspicionOf(x.VM.ID)...)
}

// suspicionOf returns the update about a VM that counts as suspect or dead, to be sent
// to it.
func (m *StateMachine) suspicionOf(id chervilladder.VMID) []chervilladder.MemberUpdate {
	x, ok := m.members[id]
	if !ok || x.Health == chervilladder.HealthAlive {
		return nil
	}
	return []chervilladder.MemberUpdate{x.MemberUpdate}
}

// relayPing pings a member on behalf of another one.
func (m *StateMachine) relayPing(requester chervilladder.Address, b chervilladder.IndirectPing, now time.Time) {
	if len(m.relayed) >= maxRelayed {
		return
	}
	s := m.nextSequence()
	m.relayed[s] = relayedPing{requester: requester, sequence: b.Sequence, expires: now.Add(m.config.Period)}
	m.send(b.Address, chervilladder.Ping{Sequence: s, Target: b.Target}, m.suspicionOf(b.Target)...)
}

// handleAck ends the current probe, or forwards the answer to a relayed ping.
func (m *StateMachine) handleAck(s chervilladder.ProbeSequence) {
	if s == m.probe.sequence {
		m.probe = probe{}
		return
	}
	if r, ok := m.relayed[s]; ok {
		delete(m.relayed, s)
		m.send(r.requester, chervilladder.Ack{Sequence: r.sequence})
	}
}

func (m *StateMachine) nextSequence() chervilladder.ProbeSequence {
	m.sequence++
	return m.sequence
}
