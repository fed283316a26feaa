package blackboard

import (
	"sync"
	"sync/atomic"
)

// Tick is the sequence number of a poll of the members of one database by one
// VM. Events take numbers from the same sequence: a status requested by poll n
// describes a time after every event with number n or lower.
type Tick uint64

// Evidence lets the path of a request ask for a poll of a group's members:
//
//	want := db.Evidence.Ask()
//	// wait on db.Group until the views carry Tick >= want
type Evidence struct {
	tick      atomic.Uint64
	mu        sync.Mutex
	listeners atomic.Pointer[[]chan struct{}]
}

// Ask takes the next number and wakes the listeners, which poll the members.
func (e *Evidence) Ask() Tick {
	t := Tick(e.tick.Add(1))
	e.wake()
	return t
}

// Stamp takes the next number without asking for a poll.
func (e *Evidence) Stamp() Tick {
	return Tick(e.tick.Add(1))
}

// Now returns the latest number that was taken.
func (e *Evidence) Now() Tick {
	return Tick(e.tick.Load())
}

// Listen returns a channel that receives after each Ask, and a function that
// stops it. Several calls of Ask may be received as one.
func (e *Evidence) Listen() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	e.change(func(list []chan struct{}) []chan struct{} { return append(list, c) })
	stop := func() {
		e.change(func(list []chan struct{}) []chan struct{} { return without(list, c) })
	}
	return c, stop
}

func (e *Evidence) wake() {
	list := e.listeners.Load()
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

func (e *Evidence) change(edit func([]chan struct{}) []chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []chan struct{}
	if now := e.listeners.Load(); now != nil {
		list = append(list, *now...)
	}
	list = edit(list)
	e.listeners.Store(&list)
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
