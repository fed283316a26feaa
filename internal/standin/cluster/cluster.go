// Package cluster is an in-memory stand-in of a replicated service with its members
// and their logs. Tests use it in virtual time through Linker; package lineserver
// serves it over TCP.
package cluster

import (
	"errors"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Config configures a Cluster.
type Config struct {
	Service chervilladder.ServiceID
	// Members are all members; the first one is the primary of term 1.
	Members []chervilladder.Registered
	// Confirmations is how many replicas must have received a commit before
	// it is acknowledged.
	Confirmations int
	// Connections limits the connections of each member; zero is no limit.
	Connections int
	// Queue is how many statements may wait for a member's slots.
	Queue int
	// Lag is the time from when a replica receives an entry to when it applies it.
	Lag time.Duration
	// ConnectTime and WorkTime are how long opening a connection and running a
	// read, write or commit take.
	ConnectTime, WorkTime time.Duration
	// PromoteTime is the time from an ordered promotion to when it takes effect.
	PromoteTime time.Duration
	// EntryTerms makes the term of a position that of the entry there, as on the users'
	// platform. Otherwise it is the term that the member follows.
	EntryTerms bool
	// StepsDownAfter is how long after it can reach the new primary an old one becomes a
	// replica by itself; zero is never.
	StepsDownAfter time.Duration
}

// Cluster is a replicated service. One lock guards all of its state.
type Cluster struct {
	config Config

	mu      sync.Mutex
	members map[chervilladder.UpstreamID]*member
	// changed is closed and replaced at each change that a goroutine may wait for.
	changed    chan struct{}
	executions []Execution
	promotions []Promotion
	effects    []Effect
	// promoteTimes takes the place of Config.PromoteTime unless it is nil.
	promoteTimes PromoteTimes
	// acks are the acknowledged commits that no promotion has rolled back.
	acks   []Ack
	strays []Entry
	// top is the highest term so far, also of members that are gone.
	top    chervilladder.Term
	serial uint64
}

// Entry is a commit in a log.
type Entry struct {
	Mark chervilladder.Mark
	// Commands are the writes of the commit.
	Commands []chervilladder.Command
	// Acked is set once the commit was acknowledged on its connection.
	Acked *bool
}

// Execution records the execution of a statement at a member.
type Execution struct {
	Member  chervilladder.UpstreamID
	Command chervilladder.Command
	// Log is the last log position that the member had applied.
	Log chervilladder.Mark
	At  time.Time
	// Values are the session values of the connection.
	Values map[string]string
	// Shape is the text of the prepared statement, if one was executed.
	Shape string
	// Connection and Transaction identify where it ran; Transaction is zero
	// outside of one.
	Connection, Transaction uint64
	// Peer is whom the connection was opened for.
	Peer string
}

// Promotion is a promotion that was ordered.
type Promotion struct {
	// Holder is the VM that ordered it, and Epoch the fencing token of the duty under
	// which it did. The epoch isn't the term of the new primary.
	Holder   chervilladder.VMID
	Epoch    chervilladder.Epoch
	Upstream chervilladder.UpstreamID
	At       time.Time
}

// member is one member of the service.
type member struct {
	chervilladder.Registered
	primary bool
	term    chervilladder.Term
	// pauseTerm is the term of the promotion for which a replica is paused: the highest
	// term of the PAUSE commands since the last RESUME. Zero if the replica replicates.
	pauseTerm chervilladder.Term
	log       []Entry
	// arrivals are the arrivals of a replica's log entries.
	arrivals []arrival
	conns    map[*Conn]struct{}
	// busy is the number of statements that hold a slot, waiting of those that wait for
	// one.
	busy    int
	waiting int
	faults  Faults
	// entryTerms is Config.EntryTerms.
	entryTerms bool
}

// arrival is when a replica receives and applies an entry. It is zero for the entries
// that the member wrote as primary or had before it became a replica.
type arrival struct{ received, applied time.Time }

// Faults are the faults of a member. The zero value is none.
type Faults struct {
	// Down members reject connections and keep their log.
	Down bool
	// Silent members answer nothing.
	Silent bool
	// NoReplication keeps the member from sending and receiving the log.
	NoReplication bool
	// Lag replaces the cluster's lag if it is longer.
	Lag time.Duration
	// LoseAnswers is the number of answers to lose after their statements ran.
	LoseAnswers int
	// WorkTime replaces the cluster's unless it is zero.
	WorkTime time.Duration
	// Repeat, if set, decides which answers the member sends a second time.
	Repeat Repeat
	// Refuse, if set, decides which commands the member refuses.
	Refuse Refuse
}

// Ack is the acknowledgement of a commit on the connection of its caller.
type Ack struct {
	Entry
	Primary     chervilladder.UpstreamID
	ConfirmedBy []chervilladder.UpstreamID
	At          time.Time
}

// Effect is a promotion that took effect.
type Effect struct {
	Upstream chervilladder.UpstreamID
	Term     chervilladder.Term
	At       time.Time
	// Lost holds the acknowledged commits that were in the log of the service until then
	// and aren't in that of the new primary. HeldBy are the members that hold one of them.
	Lost   []Ack
	HeldBy []chervilladder.UpstreamID
}

// New returns a service whose first member is the primary.
func New(c Config) (*Cluster, error) {
	if len(c.Members) == 0 {
		return nil, errors.New("cluster: a service needs members")
	}
	k := &Cluster{config: c, members: make(map[chervilladder.UpstreamID]*member), changed: make(chan struct{})}
	for i, r := range c.Members {
		k.members[r.ID] = &member{Registered: r, primary: i == 0, term: 1, conns: make(map[*Conn]struct{}), entryTerms: c.EntryTerms}
	}
	return k, nil
}

// Set changes the faults of a member, unless that has been removed. A member that goes down
// loses its connections.
func (k *Cluster) Set(id chervilladder.UpstreamID, change func(*Faults)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m, ok := k.members[id]
	if !ok {
		return
	}
	wasDown := m.faults.Down
	change(&m.faults)
	if wasDown && !m.faults.Down {
		m.pauseTerm = 0 // a restart ends a pause
	}
	// A primary that is down while a member of a higher term is primary becomes a replica:
	// below if it goes down after the failover, here if it returns after it.
	if !m.faults.Down && k.hasNewerPrimary(m.term) && wasDown {
		// It keeps its log.
		m.primary = false
		m.arrivals = make([]arrival, len(m.log))
	}
	if wasDown && !m.faults.Down {
		m.pauseTerm = 0 // a pause ends with the replica's restart
	}
	var lost []*Conn
	if m.faults.Down {
		for c := range m.conns {
			lost = append(lost, c)
		}
		if !m.primary || k.hasNewerPrimary(m.term) {
			m.primary = false
		}
	}
	for _, c := range lost {
		c.closeLocked()
	}
	k.stepDownLater()
	k.replicate()
	k.wake()
}

// Add adds a member as a replica, which then receives the primary's log.
func (k *Cluster) Add(r chervilladder.Registered) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members[r.ID] = &member{Registered: r, term: 0, conns: make(map[*Conn]struct{}), entryTerms: k.config.EntryTerms}
	k.replicate()
	k.wake()
}

// Remove removes a member and its log.
func (k *Cluster) Remove(id chervilladder.UpstreamID) {
	k.Set(id, func(f *Faults) { f.Down = true })
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.members, id)
}

// Log returns a member's log.
func (k *Cluster) Log(id chervilladder.UpstreamID) []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Entry(nil), k.members[id].log...)
}

// Holders returns the members that hold all of a member's log, itself and those that are
// down included; none if it has been removed.
func (k *Cluster) Holders(id chervilladder.UpstreamID) []chervilladder.UpstreamID {
	k.mu.Lock()
	defer k.mu.Unlock()
	m, ok := k.members[id]
	if !ok {
		return nil
	}
	var list []chervilladder.UpstreamID
	for _, o := range k.members {
		if n := len(m.log); n == 0 || o.holds(m.log[n-1]) {
			list = append(list, o.ID)
		}
	}
	return list
}

// Primary returns the primary of the highest term.
func (k *Cluster) Primary() (chervilladder.UpstreamID, chervilladder.Term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m := k.currentPrimary(); m != nil {
		return m.ID, m.term
	}
	return "", 0
}

// Effects returns the promotions that have taken effect.
func (k *Cluster) Effects() []Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Effect(nil), k.effects...)
}

// Strays returns the commits that an outdated primary acknowledged.
func (k *Cluster) Strays() []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Entry(nil), k.strays...)
}

// Executions returns all statements that the members have run.
func (k *Cluster) Executions() []Execution {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Execution(nil), k.executions...)
}

// Promotions returns the promotions that were ordered.
func (k *Cluster) Promotions() []Promotion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Promotion(nil), k.promotions...)
}

// Down reports whether a member is down.
func (k *Cluster) Down(id chervilladder.UpstreamID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	m, ok := k.members[id]
	return !ok || m.faults.Down
}

// PauseTerm returns the term of the promotion for which replication to a member is
// paused; zero if it replicates.
func (k *Cluster) PauseTerm(id chervilladder.UpstreamID) chervilladder.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members[id].pauseTerm
}

func (k *Cluster) currentPrimary() *member {
	var best *member
	for _, m := range k.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// hasNewerPrimary reports whether there is a primary of a higher term.
func (k *Cluster) hasNewerPrimary(term chervilladder.Term) bool {
	l := k.currentPrimary()
	return l != nil && l.term > term
}

// wake wakes all goroutines that wait for a change.
func (k *Cluster) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// replicate copies the log to each replica from the primary of the highest term
// that reaches it.
func (k *Cluster) replicate() {
	for _, r := range k.members {
		if r.primary || r.pauseTerm != 0 || r.faults.Down || r.faults.NoReplication {
			continue
		}
		if p := k.source(r); p != nil {
			k.copyLog(p, r)
		}
	}
}

func (k *Cluster) source(r *member) *member {
	var best *member
	for _, m := range k.members {
		if m != r && m.primary && !m.faults.Down && !m.faults.NoReplication && m.term >= r.term && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// copyLog makes a replica's log that of its primary.
func (k *Cluster) copyLog(p, r *member) {
	r.term = p.term
	common := len(r.log)
	if common == 0 || common > len(p.log) || r.log[common-1].Mark != p.log[common-1].Mark {
		common = 0 // the logs have diverged
	}
	for common < len(r.log) && common < len(p.log) && r.log[common].Mark == p.log[common].Mark {
		common++
	}
	r.log, r.arrivals = r.log[:common], r.arrivals[:common]
	lag := max(k.config.Lag, r.faults.Lag)
	for _, e := range p.log[common:] {
		r.log = append(r.log, e)
		now := time.Now()
		r.arrivals = append(r.arrivals, arrival{received: now, applied: now.Add(lag)})
	}
}

// applied returns how many log entries a member has applied.
func (m *member) applied(now time.Time) int {
	if m.primary {
		return len(m.log)
	}
	n := 0
	for n < len(m.log) && !m.arrivals[n].applied.After(now) {
		n++
	}
	return n
}

// lag returns the lag that a member reports: how long ago it received its oldest
// unapplied entry, but at least Config.Lag, also if it has applied all entries.
func (k *Cluster) lag(m *member) time.Duration {
	now := time.Now()
	if n := m.applied(now); n < len(m.log) {
		return max(k.config.Lag, now.Sub(m.arrivals[n].received))
	}
	return k.config.Lag
}

// mark returns the log position after the first n entries of a member's log.
func (m *member) mark(n int) chervilladder.Mark {
	if !m.entryTerms {
		return chervilladder.Mark{Term: m.term, Position: chervilladder.Position(n)}
	}
	if n == 0 {
		return chervilladder.Mark{}
	}
	return m.log[n-1].Mark
}

// covers reports whether the first n entries of a member's log include a position.
func (m *member) covers(n int, want chervilladder.Mark) bool {
	if int(want.Position) > n || want.Term > m.term {
		return false
	}
	return want.Term == m.term || want.Position == 0 || m.log[want.Position-1].Mark.Term <= want.Term
}
