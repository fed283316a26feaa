package blackboard

import (
	"sync"
	"sync/atomic"
)

// PollNumber is a sequence number for the polls of the members of one database by
// one VM, and for events at that VM such as the answer to a session. An event takes
// a new number, by Next or Request. A poll takes no new number: it carries the
// latest one that was taken, by Last. So a status requested by poll n was requested
// after every event whose number is n or lower.
type PollNumber uint64

// Polls lets the path of a request ask for a poll of a group's members:
//
//	want := db.Polls.Request()
//	// wait on db.Group until the views carry Poll >= want
type Polls struct {
	last      atomic.Uint64
	mu        sync.Mutex
	listeners atomic.Pointer[[]chan struct{}]
}

// Request takes the next number and wakes the listeners, which poll the
// members.
func (p *Polls) Request() PollNumber {
	n := PollNumber(p.last.Add(1))
	p.wake()
	return n
}

// Next takes the next number without asking for a poll.
func (p *Polls) Next() PollNumber {
	return PollNumber(p.last.Add(1))
}

// Last returns the latest number that was taken, which is the number of a poll
// that begins now.
func (p *Polls) Last() PollNumber {
	return PollNumber(p.last.Load())
}

// Listen returns a channel that receives after each Request, and a function
// that stops it. Several calls of Request may be received as one.
func (p *Polls) Listen() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	p.change(func(list []chan struct{}) []chan struct{} { return append(list, c) })
	stop := func() {
		p.change(func(list []chan struct{}) []chan struct{} { return without(list, c) })
	}
	return c, stop
}

func (p *Polls) wake() {
	list := p.listeners.Load()
	if list == nil {
		return
	}
	for _, c := range *list {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (p *Polls) change(edit func([]chan struct{}) []chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []chan struct{}
	if now := p.listeners.Load(); now != nil {
		list = append(list, *now...)
	}
	list = edit(list)
	p.listeners.Store(&list)
}

func without(list []chan struct{}, c chan struct{}) []chan struct{} {
	kept := list[:0]
	for _, l := range list {
		if l != c {
			kept = append(kept, l)
		}
	}
	return kept
}
