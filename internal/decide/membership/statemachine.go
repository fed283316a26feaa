// Package membership decides which VMs are alive. It implements the SWIM protocol:
// each VM probes one other VM per period, asks a few others to probe one that doesn't
// answer, and gives a suspected VM time to refute the suspicion before it counts as
// dead. Updates are piggybacked on the probes and their answers, so that the load of
// a VM doesn't depend on the number of VMs.
//
// StateMachine is a state machine without I/O and timers: its user calls Receive for
// each message and Tick at the time that Next returns, and sends the messages that
// they return.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/chervilladder/chervilladder"
)

// The defaults of a Config.
const (
	DefaultPeriod         = 200 * time.Millisecond
	DefaultDirectTimeout  = 80 * time.Millisecond
	DefaultIndirectProbes = 3
	DefaultForgetAfter    = 2 * time.Hour
)

// Config configures a StateMachine.
type Config struct {
	Self chervilladder.VM
	// Incarnation is the initial incarnation of this start. It has to be higher
	// than those of earlier starts under the same id; if it isn't, it is raised
	// once an update with a higher one arrives.
	Incarnation chervilladder.Incarnation
	Random      *rand.Rand
	// Period is the time between probes, and how long a probe may take.
	Period time.Duration
	// DirectTimeout is how long a probe waits for an answer before other members
	// are asked for an indirect probe.
	DirectTimeout time.Duration
	// IndirectProbes is how many members are asked for an indirect probe.
	IndirectProbes int
	// ForgetAfter is how long dead VMs are kept in the list of members. It has to
	// be longer than a partition, since only VMs in the list are pinged to
	// reconnect after it.
	ForgetAfter time.Duration
}

// Envelope is a message with its destination.
type Envelope struct {
	To      chervilladder.Address
	Message chervilladder.GossipMessage
}

// Member is the state of one VM as this VM sees it.
type Member struct {
	chervilladder.MemberUpdate
	// LastChanged is when the state last changed.
	LastChanged time.Time
}

type member struct {
	Member
	// expires is when a suspect is declared dead, or a dead member is forgotten.
	expires time.Time
}

// StateMachine is the state of the protocol at one VM. It isn't safe for concurrent
// use.
type StateMachine struct {
	config  Config
	self    chervilladder.MemberUpdate
	members map[chervilladder.VMID]*member
	// suspects holds the members with HealthSuspect.
	suspects map[chervilladder.VMID]*member
	pending  pendingUpdates
	seeds    []chervilladder.Address

	probeOrder []chervilladder.VMID // members to probe in this round, next first
	probe      probe
	relayed    map[chervilladder.ProbeSequence]relayedPing
	sequence   chervilladder.ProbeSequence

	nextPeriod     time.Time
	nextSync       time.Time
	nextListAnswer time.Time // earliest time at which this VM may send its list of members again
	lastTick       time.Time
	revision       chervilladder.Revision
	confirmed      time.Time
	newest         Hint
	changed        bool
	outgoing       []Envelope
}

// Hint is the newest known revision of the configuration and a peer at which it is in
// force.
type Hint struct {
	Revision chervilladder.Revision
	Peer     chervilladder.Address
	// Confirmed is when the platform last confirmed the revision.
	Confirmed time.Time
}

// New returns a state machine whose only member is this VM. Zero values in the Config
// are replaced by the defaults.
func New(c Config, now time.Time) *StateMachine {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.DirectTimeout == 0 {
		c.DirectTimeout = DefaultDirectTimeout
	}
	if c.IndirectProbes == 0 {
		c.IndirectProbes = DefaultIndirectProbes
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &StateMachine{
		config:   c,
		self:     chervilladder.MemberUpdate{VM: c.Self, Incarnation: c.Incarnation},
		members:  make(map[chervilladder.VMID]*member),
		suspects: make(map[chervilladder.VMID]*member),
		pending:  make(pendingUpdates),
		relayed:  make(map[chervilladder.ProbeSequence]relayedPing),
		sequence: chervilladder.ProbeSequence(c.Random.Uint64() >> 1),
		changed:  true,
		lastTick: now,
		nextSync: now,
	}
	m.nextPeriod = now.Add(time.Duration(c.Random.Int64N(int64(c.Period))))
	m.pending.add(m.self)
	return m
}

// Members returns the state of all known VMs, including this one.
func (m *StateMachine) Members() []Member {
	list := make([]Member, 0, len(m.members)+1)
	list = append(list, Member{MemberUpdate: m.self})
	for _, x := range m.members {
		list = append(list, x.Member)
	}
	return list
}

// Changed reports whether the members have changed since the last call.
func (m *StateMachine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Newest returns the highest revision that was received from a peer.
func (m *StateMachine) Newest() Hint { return m.newest }

// Next returns the time at which Tick is to be called next.
func (m *StateMachine) Next() time.Time {
	next := m.nextPeriod
	if t := m.probe.indirectAt; !t.IsZero() && t.Before(next) {
		next = t
	}
	for _, x := range m.suspects {
		if x.expires.Before(next) {
			next = x.expires
		}
	}
	return next
}

// Tick performs the actions that are due and returns the messages to send.
func (m *StateMachine) Tick(now time.Time) []Envelope {
	m.compensatePause(now)
	m.expireSuspects(now)
	if t := m.probe.indirectAt; !t.IsZero() && !now.Before(t) {
		m.pingIndirectly()
	}
	if !now.Before(m.nextPeriod) {
		m.nextPeriod = now.Add(m.config.Period)
		m.endProbe(now)
		m.startProbe(now)
		m.synchronise(now)
	}
	return m.takeOutgoing()
}

// compensatePause abandons the current probe and moves the deadlines of suspects if
// this VM itself was paused: answers that it could not receive don't show that others
// are down.
func (m *StateMachine) compensatePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < 2*m.config.Period {
		return
	}
	m.probe = probe{}
	for _, x := range m.suspects {
		x.expires = x.expires.Add(gap)
	}
}

// SetSeeds sets addresses of possible VMs, such as those of the platform's list.
func (m *StateMachine) SetSeeds(seeds []chervilladder.Address) { m.seeds = seeds }

// SetDraining announces that a VM drains, this one or another one. The VM stays alive;
// Leave announces that this VM stops.
func (m *StateMachine) SetDraining(id chervilladder.VMID, now time.Time) {
	if id == m.self.VM.ID {
		if !m.self.VM.Leaving {
			m.self.VM.Leaving = true
			m.raiseIncarnation(m.self.Incarnation)
		}
		return
	}
	if x, ok := m.members[id]; ok && x.Health != chervilladder.HealthDead && !x.VM.Leaving {
		u := x.MemberUpdate
		u.VM.Leaving = true
		m.apply(u, now)
	}
}

// SetRevision sets the revision in force here and when the platform confirmed it. If
// it is newer, the returned messages notify a few members at once.
func (m *StateMachine) SetRevision(r chervilladder.Revision, confirmed time.Time) []Envelope {
	m.confirmed = confirmed
	if r <= m.revision {
		return nil
	}
	m.revision = r
	for _, x := range m.randomAlive(m.config.IndirectProbes, "") {
		m.send(x.VM.Peer, chervilladder.Notice{})
	}
	return m.takeOutgoing()
}

// Leave returns the messages that announce that this VM stops.
func (m *StateMachine) Leave() []Envelope {
	m.self.Health = chervilladder.HealthDead
	for _, x := range m.randomAlive(m.config.IndirectProbes, "") {
		m.send(x.VM.Peer, chervilladder.Notice{}, m.self)
	}
	return m.takeOutgoing()
}

// disseminationPeriods returns approximately the number of periods after which an
// update has reached all VMs.
func (m *StateMachine) disseminationPeriods() int {
	return bits.Len(uint(len(m.members) + 1))
}

func (m *StateMachine) takeOutgoing() []Envelope {
	out := m.outgoing
	m.outgoing = nil
	return out
}
