package schedule

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// model mirrors the state of a queue through random steps.
type model struct {
	q        Queue
	slots    map[chervilladder.UpstreamID]int
	readable map[chervilladder.UpstreamID]bool
	primary  chervilladder.UpstreamID
	waiting  []*Ticket
	running  []*Ticket
	holding  map[*Ticket]chervilladder.UpstreamID
	refused  []*Ticket
}

// TestQueueInvariants checks random sequences of calls: there are never more
// grants than slots, no ticket is lost, granted twice, granted after it was
// refused or kept after it was withdrawn, and grants follow priority wherever no
// class is owed its reserved share.
func TestQueueInvariants(t *testing.T) {
	setDefault("rapid.seed", "0", "18")
	setDefault("rapid.checks", "100", "2000")
	rapid.Check(t, func(r *rapid.T) { // virtual time, so that a pause of the VM does not look like slow work
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			checkQueue(r)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

// setDefault sets a flag that the command line leaves at its default.
func setDefault(name, from, to string) {
	if f := flag.Lookup(name); f.Value.String() == from {
		_ = f.Value.Set(to)
	}
}

func checkQueue(r *rapid.T) {
	m := &model{
		slots:    make(map[chervilladder.UpstreamID]int),
		readable: map[chervilladder.UpstreamID]bool{"a": true, "b": true, "c": true},
		holding:  make(map[*Ticket]chervilladder.UpstreamID),
	}
	m.configure(r)
	r.Repeat(map[string]func(*rapid.T){
		"":          m.check,
		"submit":    m.submit,
		"withdraw":  m.withdraw,
		"release":   m.release,
		"configure": m.configure,
		"readable":  m.readability,
	})
}

func (m *model) submit(r *rapid.T) {
	p := chervilladder.Priority(rapid.IntRange(0, 2).Draw(r, "priority"))
	t := &Ticket{
		Priority: p,
		Class:    chervilladder.ClassID(p.String()),
		Caller:   fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "caller")),
		Access:   chervilladder.Access(rapid.IntRange(0, 1).Draw(r, "access")),
		Deadline: time.Now().Add(time.Hour),
		Readable: func(id chervilladder.UpstreamID) bool { return m.readable[id] },
	}
	late := rapid.IntRange(0, 4).Draw(r, "late") == 0
	if late {
		t.Deadline = time.Now().Add(-time.Second)
	}
	err := m.q.Submit(t)
	if late != (err != nil) {
		r.Fatalf("deadline passed: %v, refused: %v", late, err)
	}
	if err != nil {
		m.refused = append(m.refused, t)
		return
	}
	m.waiting = append(m.waiting, t)
}

func (m *model) withdraw(r *rapid.T) {
	if len(m.waiting) == 0 {
		r.Skip("nothing waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(r, "index")
	t := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	m.q.Withdraw(t)
	m.q.Withdraw(t)
}

func (m *model) release(r *rapid.T) {
	if len(m.running) == 0 {
		r.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(r, "index")
	t := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	delete(m.holding, t)
	m.q.Release(t)
}

func (m *model) configure(r *rapid.T) {
	var list []Capacity
	m.slots = make(map[chervilladder.UpstreamID]int)
	primary := rapid.IntRange(0, 2).Draw(r, "primary")
	m.primary = ""
	for i, id := range []chervilladder.UpstreamID{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(r, "members")] {
		if i == primary {
			m.primary = id
		}
		m.slots[id] = rapid.IntRange(1, 3).Draw(r, "slots")
		list = append(list, Capacity{Upstream: id, Slots: m.slots[id], Primary: i == primary})
	}
	m.q.Configure(list)
}

func (m *model) readability(r *rapid.T) {
	m.readable["a"] = rapid.Bool().Draw(r, "a")
	m.readable["b"] = rapid.Bool().Draw(r, "b")
	m.readable["c"] = rapid.Bool().Draw(r, "c")
	m.q.Dispatch()
}

// check moves granted tickets to running and compares the queue with the model.
func (m *model) check(r *rapid.T) {
	before := m.held()
	var kept, granted []*Ticket
	for _, t := range m.waiting {
		select {
		case id, ok := <-t.granted:
			if !ok {
				continue
			}
			m.holding[t] = id
			granted = append(granted, t)
			m.running = append(m.running, t)
			if before[id]++; before[id] > m.slots[id] {
				r.Fatalf("%s runs %d with %d slots", id, before[id], m.slots[id])
			}
		default:
			kept = append(kept, t)
		}
	}
	m.waiting = kept
	if m.q.Waiting() != len(kept) {
		r.Fatalf("%d wait, the queue counts %d", len(kept), m.q.Waiting())
	}
	if len(kept) == 0 && m.q.demand != (demand{}) {
		r.Fatalf("nothing waits, the queue counts %v", m.q.demand)
	}
	for _, t := range m.refused {
		if len(t.granted) > 0 {
			r.Fatal("a refused ticket was granted")
		}
	}
	m.checkUse(r)
	m.checkOrder(r, granted)
}

// mayRun reports whether a member is eligible to run a ticket.
func (m *model) mayRun(id chervilladder.UpstreamID, t *Ticket) bool {
	if t.Access == chervilladder.AccessRead && id != m.primary {
		return m.readable[id]
	}
	return id == m.primary // ReplicaOnlyUntil is zero: reads may use the primary at once
}

// reservedForShort reports whether a ticket counts as long while the member's free
// slots are reserved for short work.
func (m *model) reservedForShort(id chervilladder.UpstreamID, t *Ticket) bool {
	i := slices.IndexFunc(m.q.members, func(u *member) bool { return u.Upstream == id })
	u, now := m.q.members[i], time.Now()
	return u.Primary && t.class.long(now) && u.Slots > slotsForShortWork && u.longRunning(now) >= u.Slots-slotsForShortWork
}

// checkOrder checks that no ticket was granted before a more urgent one that the
// member may run, except in a slot that is reserved for short work.
func (m *model) checkOrder(r *rapid.T, granted []*Ticket) {
	for _, g := range granted {
		for _, t := range m.waiting {
			at := m.holding[g]
			if t.Priority < g.Priority && m.mayRun(at, t) && !m.reservedForShort(at, t) {
				r.Fatalf("priority %v was granted while %v waited", g.Priority, t.Priority)
			}
		}
	}
}

func (m *model) held() map[chervilladder.UpstreamID]int {
	n := make(map[chervilladder.UpstreamID]int)
	for _, id := range m.holding {
		n[id]++
	}
	return n
}

// checkUse compares the number of slots in use, and checks that no slot is free
// that waiting work may use.
func (m *model) checkUse(r *rapid.T) {
	held := m.held()
	for _, member := range m.q.members {
		if len(member.running) != held[member.Upstream] {
			r.Fatalf("%s: %d slots in use, %d held", member.Upstream, len(member.running), held[member.Upstream])
		}
		for _, t := range m.waiting {
			if m.mayRun(member.Upstream, t) && member.admits(t.class, time.Now()) {
				r.Fatalf("%s has free slots while work of priority %v waits", member.Upstream, t.Priority)
			}
		}
	}
}
