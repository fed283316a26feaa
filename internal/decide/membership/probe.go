package membership

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// probe is the probe that is under way; the zero probe is none.
type probe struct {
	target     chervilladder.VMID
	sequence   chervilladder.ProbeSequence
	askForHelp time.Time
}

// relay is a ping that was sent on behalf of another VM.
type relay struct {
	asker    chervilladder.Address
	sequence chervilladder.ProbeSequence
	expires  time.Time
}

// maxRelays bounds the pings that are sent for others at a time.
const maxRelays = 64

// startProbe pings the next member.
func (m *Machine) startProbe(now time.Time) {
	x := m.nextTarget()
	if x == nil {
		return
	}
	m.probe = probe{
		target:     x.VM.ID,
		sequence:   m.nextSequence(),
		askForHelp: now.Add(m.config.DirectTimeout),
	}
	m.ping(x, m.probe.sequence)
}

// nextTarget goes round the members, each round in another order, so that
// every member is probed within a bounded time.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for len(m.order) > 0 {
			x, ok := m.members[m.order[0]]
			m.order = m.order[1:]
			if ok && x.Health != chervilladder.HealthDead {
				return x
			}
		}
		m.shuffle()
	}
	return nil
}

func (m *Machine) shuffle() {
	m.order = nil
	for _, x := range m.sorted() {
		if x.Health != chervilladder.HealthDead {
			m.order = append(m.order, x.VM.ID)
		}
	}
	m.config.Random.Shuffle(len(m.order), func(i, j int) {
		m.order[i], m.order[j] = m.order[j], m.order[i]
	})
}

// askForHelp pings the target again and has other members ping it as well. The
// path between it and this VM may be what fails.
func (m *Machine) askForHelp() {
	m.probe.askForHelp = time.Time{}
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
	for _, x := range m.choose(m.config.Helpers, target.VM.ID) {
		m.send(x.VM.Peer, body)
	}
}

// endProbe suspects a target that has not answered, and tells it so.
func (m *Machine) endProbe(now time.Time) {
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

// expireSuspects declares those dead that have not contradicted in time, and
// forgets those that are dead for long.
func (m *Machine) expireSuspects(now time.Time) {
	for _, x := range m.suspects {
		if now.Before(x.expires) {
			continue
		}
		u := x.MemberUpdate
		u.Health = chervilladder.HealthDead
		m.apply(u, now)
	}
	for id, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, id)
		}
	}
}

func (m *Machine) forget(now time.Time) {
	for id, x := range m.members {
		if x.Health == chervilladder.HealthDead && now.After(x.expires) {
			delete(m.members, id)
			m.changed = true
		}
	}
}

// ping pings a member. One that isn't believed to be well is told so, that it
// can contradict.
func (m *Machine) ping(x *member, s chervilladder.ProbeSequence) {
	m.send(x.VM.Peer, chervilladder.Ping{Sequence: s, Target: x.VM.ID}, m.doubts(x.VM.ID)...)
}

// doubts returns what a VM has to be told of itself.
func (m *Machine) doubts(id chervilladder.VMID) []chervilladder.MemberUpdate {
	x, ok := m.members[id]
	if !ok || x.Health == chervilladder.HealthAlive {
		return nil
	}
	return []chervilladder.MemberUpdate{x.MemberUpdate}
}

// pingFor pings a member on behalf of another one.
func (m *Machine) pingFor(asker chervilladder.Address, b chervilladder.IndirectPing, now time.Time) {
	if len(m.relays) >= maxRelays {
		return
	}
	s := m.nextSequence()
	m.relays[s] = relay{asker: asker, sequence: b.Sequence, expires: now.Add(m.config.Period)}
	m.send(b.Address, chervilladder.Ping{Sequence: s, Target: b.Target}, m.doubts(b.Target)...)
}

// answered ends the probe that an answer belongs to, or passes the answer on.
func (m *Machine) answered(s chervilladder.ProbeSequence) {
	if s == m.probe.sequence {
		m.probe = probe{}
		return
	}
	if r, ok := m.relays[s]; ok {
		delete(m.relays, s)
		m.send(r.asker, chervilladder.Ack{Sequence: r.sequence})
	}
}

func (m *Machine) nextSequence() chervilladder.ProbeSequence {
	m.sequence++
	return m.sequence
}
