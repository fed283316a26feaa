package membership

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Receive takes in a message and returns what is to be sent because of it.
func (m *Machine) Receive(from chervilladder.Address, msg chervilladder.GossipMessage, now time.Time) []Envelope {
	if msg.From == m.self.VM.ID {
		return nil
	}
	before := m.self.Incarnation
	for _, u := range msg.Updates {
		m.apply(u, now)
	}
	m.hearRevision(from, msg, now)
	_, known := m.members[msg.From]
	switch b := msg.Body.(type) {
	case chervilladder.Ping:
		if b.Target == m.self.VM.ID {
			m.acknowledge(from, msg.From, b.Sequence, m.self.Incarnation != before)
		}
	case chervilladder.IndirectPing:
		m.pingFor(from, b, now)
	case chervilladder.Ack:
		m.answered(b.Sequence)
	case chervilladder.Sync:
		m.answerSync(from, b, now)
	case chervilladder.MemberList, chervilladder.Notice:
	}
	if _, isList := msg.Body.(chervilladder.MemberList); !known && !isList {
		m.sync(from)
	}
	return m.take()
}

func (m *Machine) hearRevision(from chervilladder.Address, msg chervilladder.GossipMessage, now time.Time) {
	if msg.Revision > m.newest.Revision {
		m.newest = Hint{Revision: msg.Revision, Peer: from}
	}
	if msg.Revision < m.newest.Revision || msg.Confirmed < 0 {
		return
	}
	if at := now.Add(-msg.Confirmed); at.After(m.newest.Confirmed) {
		m.newest.Confirmed = at
	}
}

// acknowledge answers a ping. A doubt that came with it is contradicted at
// once.
func (m *Machine) acknowledge(to chervilladder.Address, id chervilladder.VMID, s chervilladder.ProbeSequence, doubted bool) {
	updates := m.doubts(id)
	if doubted {
		updates = append(updates, m.self)
	}
	m.send(to, chervilladder.Ack{Sequence: s}, updates...)
}

// apply takes over an update if it is news, and passes it on.
func (m *Machine) apply(u chervilladder.MemberUpdate, now time.Time) {
	if u.VM.ID == m.self.VM.ID {
		m.hearOfSelf(u)
		return
	}
	x, known := m.members[u.VM.ID]
	switch {
	case !known && u.Health == chervilladder.HealthDead:
		return
	case !known:
		x = &member{}
		m.members[u.VM.ID] = x
		m.insert(u.VM.ID)
	case u.Incarnation < x.Incarnation:
		return
	case u.Incarnation == x.Incarnation:
		u.Health = max(u.Health, x.Health)
		u.VM.Leaving = u.VM.Leaving || x.VM.Leaving
		if u.Health == x.Health && u.VM.Leaving == x.VM.Leaving {
			return
		}
	}
	m.adopt(x, u, now)
}

func (m *Machine) adopt(x *member, u chervilladder.MemberUpdate, now time.Time) {
	suspected := x.Health == chervilladder.HealthSuspect
	returned := x.Health == chervilladder.HealthDead && u.Health != chervilladder.HealthDead
	x.Member = Member{MemberUpdate: u, Heard: now}
	delete(m.suspects, u.VM.ID)
	switch u.Health {
	case chervilladder.HealthSuspect:
		m.suspects[u.VM.ID] = x
		if !suspected {
			x.expires = now.Add(time.Duration(m.spread()) * m.config.Period)
		}
	case chervilladder.HealthDead:
		x.expires = now.Add(m.config.ForgetAfter)
	case chervilladder.HealthAlive:
	}
	if returned {
		m.insert(u.VM.ID)
	}
	m.rumours.add(u)
	m.changed = true
}

// insert puts a member at a random place of the round that is under way.
func (m *Machine) insert(id chervilladder.VMID) {
	m.order = append(m.order, id)
	last := len(m.order) - 1
	i := m.config.Random.IntN(len(m.order))
	m.order[i], m.order[last] = m.order[last], m.order[i]
}

// hearOfSelf contradicts what others wrongly say of this VM. That it leaves is
// no doubt but an order of the platform.
func (m *Machine) hearOfSelf(u chervilladder.MemberUpdate) {
	if u.Incarnation < m.self.Incarnation || m.self.Health == chervilladder.HealthDead {
		return
	}
	if u.Incarnation == m.self.Incarnation && u.VM.Leaving && !m.self.VM.Leaving {
		m.self.VM.Leaving = true
		m.raise(u.Incarnation)
		return
	}
	if u.Incarnation > m.self.Incarnation || u.Health != chervilladder.HealthAlive {
		m.raise(u.Incarnation)
	}
}

// raise announces this VM by an incarnation higher than a given one, to a few
// members at once.
func (m *Machine) raise(above chervilladder.Incarnation) {
	m.self.Incarnation = above + 1
	m.rumours.add(m.self)
	m.changed = true
	for _, x := range m.choose(m.config.Helpers, "") {
		m.send(x.VM.Peer, chervilladder.Notice{}, m.self)
	}
}
