package blackboard

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Table is a map of entries by id, such as the state of each database. Look-up
// takes no lock; entries are created on first use and stay until removed.
type Table[K comparable, E any] struct {
	entries atomic.Pointer[map[K]*E]
	writing sync.Mutex
	// New creates the entry of an id; if New is nil, entries are zero values.
	New func(K) *E
}

// Get returns the entry of an id and creates it if there is none.
func (t *Table[K, E]) Get(id K) *E {
	if e, ok := t.Find(id); ok {
		return e
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	if e, ok := t.Find(id); ok {
		return e
	}
	e := t.make(id)
	next := t.copy()
	next[id] = e
	t.entries.Store(&next)
	return e
}

// Find returns the entry of an id if there is one.
func (t *Table[K, E]) Find(id K) (*E, bool) {
	now := t.entries.Load()
	if now == nil {
		return nil, false
	}
	e, ok := (*now)[id]
	return e, ok
}

// Remove removes the entry of an id. Code that already holds the entry may
// continue to use it.
func (t *Table[K, E]) Remove(id K) {
	t.writing.Lock()
	defer t.writing.Unlock()
	next := t.copy()
	delete(next, id)
	t.entries.Store(&next)
}

// All returns the current entries. The map must not be changed.
func (t *Table[K, E]) All() map[K]*E {
	if now := t.entries.Load(); now != nil {
		return *now
	}
	return nil
}

func (t *Table[K, E]) make(id K) *E {
	if t.New != nil {
		return t.New(id)
	}
	return new(E)
}

func (t *Table[K, E]) copy() map[K]*E {
	if now := t.entries.Load(); now != nil {
		return maps.Clone(*now)
	}
	return make(map[K]*E)
}
