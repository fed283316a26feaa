// Package membership decides which VMs are alive. It is a state machine after
// SWIM: each VM probes one other VM a period, asks a few others to probe one
// that doesn't answer, and lets a suspected VM contradict before it counts as
// dead. What is learnt travels on the probes and their answers, so that the
// load of a VM doesn't depend on how many there are.
//
// A Machine does no I/O and starts no timer: its user calls Receive for each
// message and Tick at the time that Next returns, and sends what they return.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/chervilladder/chervilladder"
)

// The defaults of a Config.
const (
	DefaultPeriod        = 200 * time.Millisecond
	DefaultDirectTimeout = 80 * time.Millisecond
	DefaultHelpers       = 3
	DefaultForgetAfter   = 2 * time.Hour
)

// Config configures a Machine.
type Config struct {
	Self chervilladder.VM
	// Incarnation is the first one of this start. It has to be higher than
	// those of earlier starts under the same id; if it isn't, the machine
	// raises it once it hears of them.
	Incarnation chervilladder.Incarnation
	Random      *rand.Rand
	// Period is the time between probes, and how long a probe may take.
	Period time.Duration
	// DirectTimeout is how long a probe waits before it asks for help.
	DirectTimeout time.Duration
	// Helpers is how many VMs are asked to help with a probe.
	Helpers int
	// ForgetAfter is how long dead VMs are remembered. It has to outlast a
	// partition, since only VMs that are remembered are found again.
	ForgetAfter time.Duration
}

// Envelope is a message with the address that it goes to.
type Envelope struct {
	To      chervilladder.Address
	Message chervilladder.GossipMessage
}

// Member is what the machine believes of one VM.
type Member struct {
	chervilladder.MemberUpdate
	// Heard is when the belief last changed.
	Heard time.Time
}

type member struct {
	Member
	// expires is when a suspect counts as dead and a dead one is forgotten.
	expires time.Time
}

// Machine is the state of one VM. It is used by one goroutine at a time.
type Machine struct {
	config  Config
	self    chervilladder.MemberUpdate
	members map[chervilladder.VMID]*member
	// suspects holds the members that are suspected.
	suspects map[chervilladder.VMID]*member
	rumours  rumours
	seeds    []chervilladder.Address

	order    []chervilladder.VMID // whom to probe, next first
	probe    probe
	relays   map[chervilladder.ProbeSequence]relay
	sequence chervilladder.ProbeSequence

	nextPeriod time.Time
	nextSync   time.Time
	nextAnswer time.Time // when a list of members may be sent again
	lastTick   time.Time
	revision   chervilladder.Revision
	confirmed  time.Time
	newest     Hint
	changed    bool
	out        []Envelope
}

// Hint says where a revision of the configuration is in force.
type Hint struct {
	Revision chervilladder.Revision
	Peer     chervilladder.Address
	// Confirmed is when the platform last confirmed the revision.
	Confirmed time.Time
}

// New returns a machine that knows only itself. Values that are zero get
// their defaults.
func New(c Config, now time.Time) *Machine {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.DirectTimeout == 0 {
		c.DirectTimeout = DefaultDirectTimeout
	}
	if c.Helpers == 0 {
		c.Helpers = DefaultHelpers
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Machine{
		config:   c,
		self:     chervilladder.MemberUpdate{VM: c.Self, Incarnation: c.Incarnation},
		members:  make(map[chervilladder.VMID]*member),
		suspects: make(map[chervilladder.VMID]*member),
		rumours:  make(rumours),
		relays:   make(map[chervilladder.ProbeSequence]relay),
		sequence: chervilladder.ProbeSequence(c.Random.Uint64() >> 1),
		changed:  true,
		lastTick: now,
		nextSync: now,
	}
	m.nextPeriod = now.Add(time.Duration(c.Random.Int64N(int64(c.Period))))
	m.rumours.add(m.self)
	return m
}

// Members returns what is believed of all VMs, this one among them.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.members)+1)
	list = append(list, Member{MemberUpdate: m.self})
	for _, x := range m.members {
		list = append(list, x.Member)
	}
	return list
}

// Changed reports whether members have changed since it was last called.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Newest returns the highest revision that was heard of.
func (m *Machine) Newest() Hint { return m.newest }

// Next returns when Tick is to be called.
func (m *Machine) Next() time.Time {
	next := m.nextPeriod
	if t := m.probe.askForHelp; !t.IsZero() && t.Before(next) {
		next = t
	}
	for _, x := range m.suspects {
		if x.expires.Before(next) {
			next = x.expires
		}
	}
	return next
}

// Tick does what is due and returns what is to be sent.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.absorbPause(now)
	m.expireSuspects(now)
	if t := m.probe.askForHelp; !t.IsZero() && !now.Before(t) {
		m.askForHelp()
	}
	if !now.Before(m.nextPeriod) {
		m.nextPeriod = now.Add(m.config.Period)
		m.endProbe(now)
		m.startProbe(now)
		m.synchronise(now)
	}
	return m.take()
}

// absorbPause shifts all deadlines by the time that this VM itself was paused:
// answers that it could not read are no evidence against others.
func (m *Machine) absorbPause(now time.Time) {
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

// SetSeeds names addresses at which VMs may be found, such as those of the
// platform's list.
func (m *Machine) SetSeeds(seeds []chervilladder.Address) { m.seeds = seeds }

// SetLeaving announces that a VM drains, be it this or another one.
func (m *Machine) SetLeaving(id chervilladder.VMID, now time.Time) {
	if id == m.self.VM.ID {
		if !m.self.VM.Leaving {
			m.self.VM.Leaving = true
			m.raise(m.self.Incarnation)
		}
		return
	}
	if x, ok := m.members[id]; ok && x.Health != chervilladder.HealthDead && !x.VM.Leaving {
		u := x.MemberUpdate
		u.VM.Leaving = true
		m.apply(u, now)
	}
}

// SetRevision tells the revision in force here and when the platform confirmed
// it, and tells a few others at once if it is a new one.
func (m *Machine) SetRevision(r chervilladder.Revision, confirmed time.Time) []Envelope {
	m.confirmed = confirmed
	if r <= m.revision {
		return nil
	}
	m.revision = r
	for _, x := range m.choose(m.config.Helpers, "") {
		m.send(x.VM.Peer, chervilladder.Notice{})
	}
	return m.take()
}

// Leave returns the messages by which this VM tells that it stops.
func (m *Machine) Leave() []Envelope {
	m.self.Health = chervilladder.HealthDead
	for _, x := range m.choose(m.config.Helpers, "") {
		m.send(x.VM.Peer, chervilladder.Notice{}, m.self)
	}
	return m.take()
}

// spread returns about the number of periods in which all VMs hear of a thing.
func (m *Machine) spread() int {
	return bits.Len(uint(len(m.members) + 1))
}

func (m *Machine) take() []Envelope {
	out := m.out
	m.out = nil
	return out
}
