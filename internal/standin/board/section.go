// Package board provides copy-on-write sections through which the parts of a
// stand-in share state. Readers load an immutable value without a lock; a writer
// changes a copy and swaps it in.
package board

import (
	"sync"
	"sync/atomic"
)

// Section holds one shared value. The zero Section is not usable; call
// NewSection.
//
//	faults := board.NewSection(Faults{})
//	faults.Update(func(f *Faults) { f.Down = true })
//	down := faults.Load().Down
type Section[T any] struct {
	mu      sync.Mutex
	current atomic.Pointer[snapshot[T]]
}

// snapshot is one value of a section. replaced is closed when the next value
// replaces it.
type snapshot[T any] struct {
	value    T
	replaced chan struct{}
}

// NewSection returns a section that holds the given value.
func NewSection[T any](value T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&snapshot[T]{value: value, replaced: make(chan struct{})})
	return s
}

// Load returns the current value.
func (s *Section[T]) Load() T {
	return s.current.Load().value
}

// Watch returns the current value and a channel that closes once it has been
// replaced.
func (s *Section[T]) Watch() (T, <-chan struct{}) {
	current := s.current.Load()
	return current.value, current.replaced
}

// Update changes a copy of the value and swaps it in. It returns the new
// value.
func (s *Section[T]) Update(change func(*T)) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.swap(change)
}

// TryUpdate is Update for a change that may fail. If change returns an error, the value
// is not replaced, and TryUpdate returns the current value with that error.
func (s *Section[T]) TryUpdate(change func(*T) error) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.current.Load().value
	if err := change(&value); err != nil {
		return s.current.Load().value, err
	}
	return s.swap(func(v *T) { *v = value }), nil
}

// WithLock calls f with the value while no writer can replace it.
func (s *Section[T]) WithLock(f func(T) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.current.Load().value)
}

func (s *Section[T]) swap(change func(*T)) T {
	old := s.current.Load()
	next := &snapshot[T]{value: old.value, replaced: make(chan struct{})}
	change(&next.value)
	s.current.Store(next)
	close(old.replaced)
	return next.value
}
