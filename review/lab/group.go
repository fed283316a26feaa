package lab

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The times of a backend.
const (
	connectTime = 12 * time.Millisecond
	workTime    = 8 * time.Millisecond
	promoteTime = time.Second
	// lag is how long after its arrival a replica applies a commit.
	lag = 60 * time.Millisecond
	// stepDownAfter is when an old primary becomes a replica by itself.
	stepDownAfter = time.Second
)

// Group is a replicated service with one confirming replica a commit. Unlike the project's
// stand-in, a member that crashes comes back under another id, with its log.
type Group struct {
	Name string

	w  *World
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	members []*Member
	top     uint64
	digests int
	runs    []Execution
}

// Execution is a read or write that reached a member.
type Execution struct {
	Member *Member
	// Caller is who its connection says that it is.
	Caller, ID string
	At         time.Time
}

// Member is one backend of a group. Its fields are protected by the group's lock.
type Member struct {
	ID      string
	Address string

	group    *Group
	listener net.Listener
	up       bool
	primary  bool
	draining bool
	term     uint64
	paused   uint64
	log      []commit
	conns    map[net.Conn]struct{}
	born     int64
	beats    int
}

// commit is an entry of a log.
type commit struct {
	term    uint64
	id      string
	arrived time.Time
}

// newGroup starts the members of a group, the first of them as its primary. The last one's
// heartbeats come some time before the next ones of the others.
func newGroup(w *World, name string, ids []string, beatGap time.Duration) *Group {
	g := &Group{Name: name, w: w, changed: make(chan struct{}), top: 1}
	for i, id := range ids {
		if i == len(ids)-1 && beatGap > 0 {
			time.Sleep(heartbeat - beatGap)
		}
		m := g.Start(id, "127.0.0.1:0")
		m.primary = i == 0
	}
	return g
}

// Start starts a new member with an empty log, which then receives the primary's.
func (g *Group) Start(id, address string) *Member {
	m := &Member{ID: id, Address: address, group: g, term: 1, conns: make(map[net.Conn]struct{})}
	g.run(m)
	return m
}

// Return starts a member that crashed under another id, with the log and the role that it
// had, at its address.
func (g *Group) Return(old *Member, id string) *Member {
	g.mu.Lock()
	m := &Member{
		ID: id, Address: old.Address, group: g, term: old.term, primary: old.primary && g.top == old.term,
		log: slices.Clone(old.log), conns: make(map[net.Conn]struct{}),
	}
	g.mu.Unlock()
	g.run(m)
	return m
}

func (g *Group) run(m *Member) {
	l, err := net.Listen("tcp", m.Address)
	if err != nil {
		Abort("%v", err)
	}
	g.mu.Lock()
	m.Address, m.listener, m.up, m.born = l.Addr().String(), l, true, time.Now().UnixMilli()
	g.members = append(g.members, m)
	g.replicate()
	g.mu.Unlock()
	g.w.Record.Notef("backend %s starts at %s, term %d, primary %v, %d commits", m.ID, m.Address, m.term, m.primary, len(m.log))
	go m.accept()
	go m.beat()
}

// Crash ends a member at once. It stays in the store until its entry expires.
func (g *Group) Crash(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.up = false
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
	g.members = slices.DeleteFunc(g.members, func(o *Member) bool { return o == m })
	g.wake()
	g.w.Record.Notef("backend %s ends", m.ID)
}

// AwaitBeat waits until a member has just written its entry.
func (g *Group) AwaitBeat(m *Member) {
	g.mu.Lock()
	before := m.beats
	g.mu.Unlock()
	g.w.Await(2*heartbeat, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return m.beats > before
	})
}

// Executions returns the reads and writes that reached the members.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// Leave ends a member that has drained.
func (g *Group) Leave(m *Member) {
	g.Crash(m)
	g.w.Store.Remove("servers", m.ID)
}

// Drain has a member report that it leaves.
func (g *Group) Drain(m *Member) {
	g.mu.Lock()
	m.draining = true
	g.mu.Unlock()
	m.register(0)
	g.w.Record.Notef("backend %s reports that it is draining", m.ID)
}

// Primary returns the primary of the highest term; nil if there is none.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

// Members returns the members by their ids.
func (g *Group) Members() map[string]*Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]*Member)
	for _, m := range g.members {
		all[m.ID] = m
	}
	return all
}

// Log returns the ids in a member's log.
func (g *Group) Log(m *Member) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, e := range m.log {
		ids = append(ids, e.id)
	}
	return ids
}

// leader is Primary with the lock held.
func (g *Group) leader() *Member {
	var best *Member
	for _, m := range g.members {
		if m.primary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// wake wakes all that wait for a change. The lock is held.
func (g *Group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// replicate has each replica that isn't paused receive the log of its primary: the one of
// the highest term, and none of a term below the replica's own. The lock is held.
func (g *Group) replicate() {
	p := g.leader()
	for _, m := range g.members {
		if p == nil || m.primary || m.paused != 0 || m.term > p.term {
			continue
		}
		m.term = p.term
		common := 0
		for common < min(len(m.log), len(p.log)) && m.log[common].id == p.log[common].id && m.log[common].term == p.log[common].term {
			common++
		}
		m.log = m.log[:common]
		for _, e := range p.log[common:] {
			e.arrived = time.Now()
			m.log = append(m.log, e)
		}
	}
	g.wake()
}

// promote orders a promotion. It reports whether the member runs.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.ID != id {
			continue
		}
		if m != g.leader() {
			time.AfterFunc(promoteTime, func() { g.takeLead(m) })
		}
		return true
	}
	return false
}

// takeLead makes a member the primary of the next term. A promotion ends all pauses.
func (g *Group) takeLead(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.leader()
	if !m.up || m == old {
		return
	}
	g.top++
	m.primary, m.term = true, g.top
	for _, o := range g.members {
		o.paused = 0
	}
	g.w.Record.Notef("backend %s leads term %d with %d commits", m.ID, m.term, len(m.log))
	g.replicate()
	if old != nil {
		time.AfterFunc(stepDownAfter, func() { g.stepDown(old, m.term) })
	}
}

// stepDown makes a primary of a lower term a replica.
func (g *Group) stepDown(m *Member, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.primary && m.term < term {
		m.primary = false
		g.w.Record.Notef("backend %s is no longer primary of term %d", m.ID, m.term)
		g.replicate()
	}
}

// beat writes the member's entry as long as it is up, and removes it some time after.
func (m *Member) beat() {
	start := time.Now()
	for seq := 1; m.w().ctx.Err() == nil; seq++ {
		m.group.mu.Lock()
		up := m.up
		m.group.mu.Unlock()
		if !up {
			time.Sleep((missedHeartbeats - 1) * heartbeat)
			m.w().Store.Remove("servers", m.ID)
			return
		}
		m.register(seq)
		m.group.mu.Lock()
		m.beats++
		m.group.mu.Unlock()
		time.Sleep(time.Until(start.Add(time.Duration(seq) * heartbeat)))
	}
}

func (m *Member) w() *World { return m.group.w }

// register writes the member's entry.
func (m *Member) register(seq int) {
	m.group.mu.Lock()
	entry := map[string]any{
		"service": m.group.Name, "address": m.Address, "zone": "zone-a", "version": "v1", "slots": 3, "state": "ready",
		names["cold"]: 0, names["role"]: "replica", "seq_no": seq, "born": m.born,
	}
	if m.primary {
		entry[names["role"]] = "primary"
	}
	if m.draining {
		entry["state"] = "draining"
	}
	m.group.mu.Unlock()
	m.w().Store.Put("servers", m.ID, entry)
}

func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return // the member has ended
		}
		m.group.mu.Lock()
		m.conns[conn] = struct{}{}
		m.group.mu.Unlock()
		go m.serve(conn)
	}
}

// serve answers one connection.
func (m *Member) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "CONNECT" {
		return
	}
	if f[1] != m.group.Name || len(f) > 3 && f[3] != m.ID {
		_, _ = fmt.Fprintf(conn, "ERROR %s %s\r\n", names["other-id"], m.ID) // the caller may have gone
		return
	}
	time.Sleep(connectTime)
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", m.position()); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		answer, ok := m.answer(f[2], id, text)
		if !ok {
			return
		}
		if _, err := fmt.Fprintf(conn, "%s\r\nREADY I %s\r\n", answer, m.position()); err != nil {
			return
		}
	}
}

// answer runs a statement. It returns false if the answer can't be given.
func (m *Member) answer(caller, id, text string) (string, bool) {
	since := ""
	if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
		since, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	term, _ := strconv.ParseUint(rest, 10, 64)
	if word == "READ" || word == "WRITE" {
		m.group.mu.Lock()
		m.group.runs = append(m.group.runs, Execution{Member: m, Caller: caller, ID: id, At: time.Now()})
		m.group.mu.Unlock()
	}
	switch word {
	case "STATUS":
		return m.status(), true
	case "PAUSE":
		m.group.mu.Lock()
		if !m.primary && term > m.term {
			m.paused = max(m.paused, term)
		}
		m.group.mu.Unlock()
		m.w().Record.Notef("backend %s gets PAUSE %d", m.ID, term)
		return m.status(), true
	case "RESUME":
		m.group.mu.Lock()
		m.paused = 0
		m.group.replicate()
		m.group.mu.Unlock()
		return m.status(), true
	case names["step-down"]:
		m.w().Record.Notef("backend %s gets %s %d", m.ID, word, term)
		m.group.stepDown(m, term)
		return m.status(), true
	case "RESET", "SET":
		return "COMPLETE -", true
	case "READ":
		return m.read(id, rest, since), true
	case "WRITE":
		return m.write(id)
	default:
		return "ERROR MALFORMED not spoken here", true
	}
}

func (m *Member) status() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d %d 0 %d\r\nCOMPLETE -", role, m.term, mark(m.log), m.paused, lag.Milliseconds(), len(m.conns))
}

// mark returns the position of a log.
func mark(log []commit) string {
	if len(log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", log[len(log)-1].term, len(log))
}

// applied returns what the member has applied of its log. The lock is held.
func (m *Member) applied() []commit {
	n := len(m.log)
	for !m.primary && n > 0 && time.Since(m.log[n-1].arrived) < lag {
		n--
	}
	return m.log[:n]
}

func (m *Member) position() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return mark(m.applied())
}

// digest returns a new digest. The lock is held.
func (m *Member) digest(id string) string {
	m.group.digests++
	return fmt.Sprintf("%s.%s.%d", m.ID, id, m.group.digests)
}

func (m *Member) read(id, item, since string) string {
	time.Sleep(workTime)
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	at := m.applied()
	if _, number, ok := strings.Cut(since, "."); ok {
		if n, _ := strconv.Atoi(number); n > len(at) {
			return "ERROR " + names["behind"] + " " + m.ID
		}
	}
	return fmt.Sprintf("ROW %s\r\nCOMPLETE %s", item, m.digest(id))
}

// write commits at a primary, and answers once a replica has received the commit.
func (m *Member) write(id string) (string, bool) {
	time.Sleep(workTime)
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.primary {
		return "ERROR " + names["not-primary"] + " " + m.ID, true
	}
	term := m.term
	m.log = append(m.log, commit{term: term, id: id, arrived: time.Now()})
	g.replicate()
	for m.up && m.primary && m.term == term {
		if by := g.heldBy(m, id); by != "" {
			if m.term > 0 && g.top == term {
				return "COMPLETE " + m.digest(id), true
			}
			return "", false // another primary leads: this commit is not acknowledged any more
		}
		changed := g.changed
		g.mu.Unlock()
		<-changed
		g.mu.Lock()
	}
	return "", false
}

// heldBy returns a replica that has received a commit. The lock is held.
func (g *Group) heldBy(primary *Member, id string) string {
	for _, m := range g.members {
		if m != primary && !m.primary && slices.ContainsFunc(m.log, func(e commit) bool { return e.id == id }) {
			return m.ID
		}
	}
	return ""
}
