package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Ticket is work that waits for a slot.
type Ticket struct {
	Database chervilladder.DatabaseID
	Priority chervilladder.Priority
	// Class, Service and Caller say whom fair sharing within a priority is
	// for. The class is also what service times are observed by.
	Class   chervilladder.ClassID
	Service chervilladder.ServiceID
	Caller  string
	// FloorPercent is the share of slot time that the class keeps while it
	// has work waiting, whatever else waits.
	FloorPercent int
	// Target is the answer time that the class aims at. Under lasting
	// overload no work is queued that would miss it.
	Target   time.Duration
	Deadline time.Time
	// Access says whether a replica may run the work.
	Access chervilladder.Access
	// Readable reports whether a replica may serve the work now. It must
	// not block.
	Readable func(chervilladder.UpstreamID) bool
	// ReplicaOnlyUntil is until when the work waits for a replica before
	// it falls back to the primary.
	ReplicaOnlyUntil time.Time

	granted chan chervilladder.UpstreamID
	refused error
	number  uint64
	class   *class
	// line is where the ticket waits; nil once it was granted or withdrawn.
	line       *line
	prev, next *Ticket
	// member holds the ticket's slot, since a point in time.
	member  *member
	since   time.Time
	charged float64
	held    int
	long    bool
	pool    pool
}

// Granted receives the upstream at which the ticket holds a slot. It is closed
// if the work is refused instead; Refused then tells why.
func (t *Ticket) Granted() <-chan chervilladder.UpstreamID {
	return t.granted
}

// Refused returns why a ticket whose Granted channel was closed is not run.
func (t *Ticket) Refused() error {
	return t.refused
}

// flowKey returns whom the ticket's slot time is charged to.
func (t *Ticket) flowKey() flowKey {
	return flowKey{class: t.Class, service: t.Service, caller: t.Caller}
}

// tickets is a list in order of arrival.
type tickets struct {
	first, last *Ticket
}

func (l *tickets) push(t *Ticket) {
	t.prev, t.next = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
}

func (l *tickets) remove(t *Ticket) {
	if t.prev == nil {
		l.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
}
