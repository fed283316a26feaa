package membership

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Receive processes a message and returns the messages to send in response.
func (m *StateMachine) Receive(from chervilladder.Address, msg chervilladder.GossipMessage, now time.Time) []Envelope {
	if msg.From == m.self.VM.ID {
		return nil
	}
	before := m.self.Incarnation
	for _, u := range msg.Updates {
		m.apply(u, now)
	}
	m.observeRevision(from, msg, now)
	_, known := m.members[msg.From]
	switch b := msg.Body.(type) {
	case chervilladder.Ping:
		if b.Target == m.self.VM.ID {
			m.acknowledge(from, msg.From, b.Sequence, m.self.Incarnation != before)
		}
	case chervilladder.IndirectPing:
		m.relayPing(from, b, now)
	case chervilladder.Ack:
		m.handleAck(b.Sequence)
	case chervilladder.Sync:
		m.answerSync(from, b, now)
	case chervilladder.MemberList, chervilladder.Notice:
	}
	if _, isList := msg.Body.(chervilladder.MemberList); !known && !isList {
		m.sync(from)
	}
	return m.takeOutgoing()
}

func (m *StateMachine) observeRevision(from chervilladder.Address, msg chervilladder.GossipMessage, now time.Time) {
	if msg.Revision > m.newest.Revision {
		m.newest = Hint{Revision: msg.Revision, Peer: from}
	}
	if msg.Revision < m.newest.Revision || msg.ConfirmedAge < 0 {
		return
	}
	if at := now.Add(-msg.ConfirmedAge); at.After(m.newest.Confirmed) {
		m.newest.Confirmed = at
	}
}

// acknowledge answers a ping. If the ping carried a suspicion of this VM, the answer
// refutes it at once.
func (m *StateMachine) acknowledge(to chervilladder.Address, id chervilladder.VMID, s chervilladder.ProbeSequence, suspected bool) {
	updates := m.suspicionOf(id)
	if suspected {
		updates = append(updates, m.self)
	}
	m.send(to, chervilladder.Ack{Sequence: s}, updates...)
}

// apply applies an update unless it is outdated or already known, and queues it for
// others.
func (m *StateMachine) apply(u chervilladder.MemberUpdate, now time.Time) {
	if u.VM.ID == m.self.VM.ID {
		m.refute(u)
		return
	}
	x, known := m.members[u.VM.ID]
	switch {
	case !known && u.Health == chervilladder.HealthDead:
		return
	case !known:
		x = &member{}
		m.members[u.VM.ID] = x
		m.insertInProbeOrder(u.VM.ID)
	case u.Incarnation < x.Incarnation:
		return
	case u.Incarnation == x.Incarnation:
		u.Health = max(u.Health, x.Health)
		u.VM.Leaving = u.VM.Leaving || x.VM.Leaving
		if u.Health == x.Health && u.VM.Leaving == x.VM.Leaving {
			return
		}
	}
	m.replace(x, u, now)
}

func (m *StateMachine) replace(x *member, u chervilladder.MemberUpdate, now time.Time) {
	wasSuspect := x.Health == chervilladder.HealthSuspect
	returned := x.Health == chervilladder.HealthDead && u.Health != chervilladder.HealthDead
	x.Member = Member{MemberUpdate: u, LastChanged: now}
	delete(m.suspects, u.VM.ID)
	switch u.Health {
	case chervilladder.HealthSuspect:
		m.suspects[u.VM.ID] = x
		if !wasSuspect {
			x.expires = now.Add(time.Duration(m.disseminationPeriods()) * m.config.Period)
		}
	case chervilladder.HealthDead:
		x.expires = now.Add(m.config.ForgetAfter)
	case chervilladder.HealthAlive:
	}
	if returned {
		m.insertInProbeOrder(u.VM.ID)
	}
	m.pending.add(u)
	m.changed = true
}

// insertInProbeOrder puts a member at a random position of the current round.
func (m *StateMachine) insertInProbeOrder(id chervilladder.VMID) {
	m.probeOrder = append(m.probeOrder, id)
	last := len(m.probeOrder) - 1
	i := m.config.Random.IntN(len(m.probeOrder))
	m.probeOrder[i], m.probeOrder[last] = m.probeOrder[last], m.probeOrder[i]
}

// refute raises the incarnation if an update wrongly reports this VM as suspect or
// dead, or has a higher incarnation. An update in which VM.Leaving is set for this VM
// is not refuted but adopted, as it is an order of the platform.
func (m *StateMachine) refute(u chervilladder.MemberUpdate) {
	if u.Incarnation < m.self.Incarnation || m.self.Health == chervilladder.HealthDead {
		return
	}
	if u.Incarnation == m.self.Incarnation && u.VM.Leaving && !m.self.VM.Leaving {
		m.self.VM.Leaving = true
		m.raiseIncarnation(u.Incarnation)
		return
	}
	if u.Incarnation > m.self.Incarnation || u.Health != chervilladder.HealthAlive {
		m.raiseIncarnation(u.Incarnation)
	}
}

// raiseIncarnation sets an incarnation higher than a given one, and announces it to a
// few members at once.
func (m *StateMachine) raiseIncarnation(above chervilladder.Incarnation) {
	m.self.Incarnation = above + 1
	m.pending.add(m.self)
	m.changed = true
	for _, x := range m.randomAlive(m.config.IndirectProbes, "") {
		m.send(x.VM.Peer, chervilladder.Notice{}, m.self)
	}
}
