package blackboard

import (
	"context"
	"sync"
)

// InFlight counts the work of a database that runs or waits at this VM. Its
// lock is never held during I/O.
type InFlight struct {
	mu    sync.Mutex
	count int
	// none is closed once the count falls to zero; nil while no call of
	// AwaitNone waits.
	none chan struct{}
}

// Begin counts work that is accepted.
func (f *InFlight) Begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// End counts work that has ended.
func (f *InFlight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.none != nil {
		close(f.none)
		f.none = nil
	}
}

// Count returns the number of pieces of work that run or wait.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// AwaitNone waits until no work runs or waits.
func (f *InFlight) AwaitNone(ctx context.Context) error {
	none := f.watch()
	if none == nil {
		return nil
	}
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *InFlight) watch() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		return nil
	}
	if f.none == nil {
		f.none = make(chan struct{})
	}
	return f.none
}
