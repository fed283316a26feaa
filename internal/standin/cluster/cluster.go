// Package cluster is a stand-in of one replicated service: its members, their
// logs, and what callers see of them. Tests use it in virtual time through
// Linker; package lineserver puts it behind TCP.
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
	// Connections bounds the connections of each member; zero is no bound.
	Connections int
	// Queue is how many statements may wait for a member's slots.
	Queue int
	// Lag is how long a replica takes from receiving to applying.
	Lag time.Duration
	// ConnectTime and WorkTime are what opening a connection and running a
	// read, write or commit take.
	ConnectTime, WorkTime time.Duration
	// PromoteTime is how long a promotion takes to show.
	PromoteTime time.Duration
}

// Cluster is a replicated service. All of its state lies behind one lock.
type Cluster struct {
	c Config

	mu      sync.Mutex
	members map[chervilladder.UpstreamID]*member
	// changed is closed and replaced at each change that somebody may wait
	// for.
	changed chan struct{}
	runs    []Run
	orders  []Order
	serial  uint64
}

// Entry is a commit in a log.
type Entry struct {
	Mark chervilladder.Mark
	// Commands are the writes of the commit.
	Commands []chervilladder.Command
	// Acked is set once the commit was acknowledged on its connection.
	Acked *bool
}

// Run is a statement that a member has run.
type Run struct {
	Member  chervilladder.UpstreamID
	Command chervilladder.Command
	// Log is the end of the member's log that the run saw.
	Log chervilladder.Mark
	At  time.Time
	// Values are the session values of the connection.
	Values map[string]string
	// Shape is that of the prepared statement that was run.
	Shape string
	// Connection and Transaction tell where it ran; Transaction is zero
	// outside of one.
	Connection, Transaction uint64
}

// Order is a promotion that was ordered.
type Order struct {
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
	held    chervilladder.Term
	log     []Entry
	// arrivals says when each entry of a replica's log was received and is
	// applied.
	arrivals []arrival
	conns    map[*Conn]struct{}
	busy     int
	waiting  int
	faults   Faults
}

// arrival is when an entry was received and is applied; zero for what a member had
// when it became a replica.
type arrival struct{ received, applied time.Time }

// Faults are what is wrong with a member. The zero value is nothing.
type Faults struct {
	// Down members refuse connections; their log stays.
	Down bool
	// Silent members answer nothing.
	Silent bool
	// Alone members neither send nor receive the log.
	Alone bool
	// Lag replaces the cluster's lag if it is above that.
	Lag time.Duration
	// LoseAnswers is how many answers are lost after their statement ran.
	LoseAnswers int
	// WorkTime replaces the cluster's if it is above zero.
	WorkTime time.Duration
}

// New returns a service whose first member leads.
func New(c Config) (*Cluster, error) {
	if len(c.Members) == 0 {
		return nil, errors.New("cluster: a service needs members")
	}
	k := &Cluster{c: c, members: make(map[chervilladder.UpstreamID]*member), changed: make(chan struct{})}
	for i, r := range c.Members {
		k.members[r.ID] = &member{Registered: r, primary: i == 0, term: 1, conns: make(map[*Conn]struct{})}
	}
	return k, nil
}

// Set changes what is wrong with a member. One that goes down loses its
// connections.
func (k *Cluster) Set(id chervilladder.UpstreamID, change func(*Faults)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.members[id]
	wasDown := m.faults.Down
	change(&m.faults)
	if !m.faults.Down && k.newer(m.term) && wasDown {
		// It comes back with its log, as a replica.
		m.primary = false
		m.arrivals = make([]arrival, len(m.log))
	}
	var lost []*Conn
	if m.faults.Down {
		for c := range m.conns {
			lost = append(lost, c)
		}
		if !m.primary || k.newer(m.term) {
			m.primary = false
		}
	}
	for _, c := range lost {
		c.breakLocked()
	}
	k.replicate()
	k.wake()
}

// Add starts a new member, a replica with the log that it is sent.
func (k *Cluster) Add(r chervilladder.Registered) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members[r.ID] = &member{Registered: r, term: 0, conns: make(map[*Conn]struct{})}
	k.replicate()
	k.wake()
}

// Remove ends a member for good, with its log.
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

// Leader returns the primary of the highest term.
func (k *Cluster) Leader() (chervilladder.UpstreamID, chervilladder.Term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m := k.leader(); m != nil {
		return m.ID, m.term
	}
	return "", 0
}

// Runs returns what all members have run.
func (k *Cluster) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Run(nil), k.runs...)
}

// Orders returns the promotions that were ordered.
func (k *Cluster) Orders() []Order {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Order(nil), k.orders...)
}

// Down reports whether a member is down.
func (k *Cluster) Down(id chervilladder.UpstreamID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	m, ok := k.members[id]
	return !ok || m.faults.Down
}

// Held returns the term that a member is paused for.
func (k *Cluster) Held(id chervilladder.UpstreamID) chervilladder.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members[id].held
}

func (k *Cluster) leader() *member {
	var best *member
	for _, m := range k.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// newer reports whether some member leads a term above the given one.
func (k *Cluster) newer(term chervilladder.Term) bool {
	l := k.leader()
	return l != nil && l.term > term
}

// wake wakes all that wait for a change.
func (k *Cluster) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// replicate brings every replica up to its primary: the one of the highest
// term that reaches it.
func (k *Cluster) replicate() {
	for _, r := range k.members {
		if r.primary || r.held != 0 || r.faults.Down || r.faults.Alone {
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
		if m != r && m.primary && !m.faults.Down && !m.faults.Alone && m.term >= r.term && (best == nil || m.term > best.term) {
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
		common = 0 // the logs part somewhere
	}
	for common < len(r.log) && common < len(p.log) && r.log[common].Mark == p.log[common].Mark {
		common++
	}
	r.log, r.arrivals = r.log[:common], r.arrivals[:common]
	lag := max(k.c.Lag, r.faults.Lag)
	for _, e := range p.log[common:] {
		r.log = append(r.log, e)
		now := time.Now()
		r.arrivals = append(r.arrivals, arrival{received: now, applied: now.Add(lag)})
	}
}

// applied returns how many entries a member's reads see.
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

// lag returns for how long a member has held the oldest entry that it has not applied.
func (k *Cluster) lag(m *member) time.Duration {
	now := time.Now()
	if n := m.applied(now); n < len(m.log) {
		return max(k.c.Lag, now.Sub(m.arrivals[n].received))
	}
	return k.c.Lag
}

// mark returns the mark of the first n entries of a member's log.
func (m *member) mark(n int) chervilladder.Mark {
	return chervilladder.Mark{Term: m.term, Position: chervilladder.Position(n)}
}

// holds reports whether the first n entries of a member's log reach a mark.
func (m *member) holds(n int, want chervilladder.Mark) bool {
	if int(want.Position) > n || want.Term > m.term {
		return false
	}
	return want.Term == m.term || want.Position == 0 || m.log[want.Position-1].Mark.Term <= want.Term
}

// Promote orders that a member leads the next term. It shows after the
// promotion time. The error is a *chervilladder.PromotionRefusedError if the
// member does not run.
func (k *Cluster) Promote(holder chervilladder.VMID, epoch chervilladder.Epoch, id chervilladder.UpstreamID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders = append(k.orders, Order{Holder: holder, Epoch: epoch, Upstream: id, At: time.Now()})
	m, ok := k.members[id]
	if !ok || m.faults.Down {
		return &chervilladder.PromotionRefusedError{Upstream: id, Status: 409}
	}
	if m == k.leader() {
		return nil
	}
	time.AfterFunc(k.c.PromoteTime, func() { k.take(m) })
	return nil
}

// take makes a member the primary of the next term.
func (k *Cluster) take(m *member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.faults.Down || m == k.leader() {
		return
	}
	var top chervilladder.Term
	for _, o := range k.members {
		top = max(top, o.term)
	}
	m.primary, m.held, m.term = true, 0, top+1
	k.replicate()
	k.wake()
}
