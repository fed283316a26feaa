// Package blackboard holds the state that the parts of a VM share, in sections.
// Controllers write most of them, and the path of a request some; the comment of
// each section names its writers. The path of a request reads the sections without
// a lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section holds one immutable value behind an atomic pointer. A writer copies
// the value, changes the copy and swaps it in; readers never wait:
//
//	members := board.Members.Load()
//
// The zero Section holds the zero value of T.
type Section[T any] struct {
	current atomic.Pointer[snapshot[T]]
	writing sync.Mutex
}

type snapshot[T any] struct {
	value   T
	changed chan struct{}
}

// Load returns the current value. The caller must not change anything that the
// value refers to.
func (s *Section[T]) Load() T {
	return s.snapshot().value
}

// Watch returns the current value and a channel that is closed once the value
// has been replaced. Wait on the channel, then call Watch again.
func (s *Section[T]) Watch() (T, <-chan struct{}) {
	now := s.snapshot()
	return now.value, now.changed
}

// Update replaces the value by the result of change and wakes the watchers.
// The function change must copy what it alters, and must not block.
func (s *Section[T]) Update(change func(T) T) {
	s.writing.Lock()
	old := s.snapshot()
	s.current.Store(&snapshot[T]{value: change(old.value), changed: make(chan struct{})})
	s.writing.Unlock()
	close(old.changed)
}

// Store replaces the value and wakes the watchers.
func (s *Section[T]) Store(value T) {
	s.Update(func(T) T { return value })
}

func (s *Section[T]) snapshot() *snapshot[T] {
	for {
		if now := s.current.Load(); now != nil {
			return now
		}
		s.current.CompareAndSwap(nil, &snapshot[T]{changed: make(chan struct{})})
	}
}
