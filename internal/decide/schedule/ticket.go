package schedule

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Ticket is a request for a slot to run one piece of work.
type Ticket struct {
	Database chervilladder.DatabaseID
	Priority chervilladder.Priority
	// Class, Service and Caller identify the flow, among which slots are shared
	// fairly within a priority. Service times are measured by class.
	Class   chervilladder.ClassID
	Service chervilladder.ServiceID
	Caller  string
	// FloorPercent is the share of slot time that is reserved for the class
	// while it has work waiting, whatever the priority of other work.
	FloorPercent int
	// Target is the target response time of the class. Under lasting overload,
	// work that would miss it is refused.
	Target   time.Duration
	Deadline time.Time
	// Access says whether a replica may run the work.
	Access chervilladder.Access
	// Readable reports whether a replica may serve the work now. It must
	// not block.
	Readable func(chervilladder.UpstreamID) bool
	// ReplicaOnlyUntil is the time until which a read waits for a replica only;
	// after that it may use the primary.
	ReplicaOnlyUntil time.Time

	granted chan chervilladder.UpstreamID
	refused error
	arrival uint64
	class   *class
	// queue is where the ticket waits; nil once it was granted, refused or
	// withdrawn.
	queue      *flowQueue
	prev, next *Ticket
	// member is where the ticket has a slot; started is when it got the slot.
	member  *member
	started time.Time
	charged float64
	bytes   int
	long    bool
	pool    pool
}

// Granted returns a channel that receives the upstream at which the ticket has a
// slot. It is closed if the ticket is refused instead; Refused then returns why.
func (t *Ticket) Granted() <-chan chervilladder.UpstreamID {
	return t.granted
}

// Refused returns the error of a ticket whose Granted channel was closed.
func (t *Ticket) Refused() error {
	return t.refused
}

// flowKey returns the flow to which the ticket's slot time is charged.
func (t *Ticket) flowKey() flowKey {
	return flowKey{class: t.Class, service: t.Service, caller: t.Caller}
}

// tickets is a linked list of tickets in order of arrival.
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
