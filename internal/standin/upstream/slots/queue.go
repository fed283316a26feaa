// Package slots limits how many statements a member of a group runs at once.
package slots

import (
	"context"
	"slices"
	"sync"
)

// Queue hands out slots, first come first served.
type Queue struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting []chan struct{}
	longest int
}

// NewQueue returns a queue with a number of slots.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Acquire takes a slot, and waits in turn while there is none.
func (q *Queue) Acquire(ctx context.Context) error {
	granted := q.enter()
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		q.leave(granted)
		return context.Cause(ctx)
	}
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

// SetLimit changes the number of slots. Statements that run go on.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
	q.grant()
}

// Load is how a queue is used.
type Load struct {
	Running int
	Waiting int
	// Longest is the most that ever waited.
	Longest int
}

// Load returns how the queue is used now.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{Running: q.running, Waiting: len(q.waiting), Longest: q.longest}
}

// enter takes a slot and returns nil, or returns what closes once it has one.
func (q *Queue) enter() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return nil
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	q.longest = max(q.longest, len(q.waiting))
	return granted
}

// leave gives up a place in the queue, or the slot if it was granted meanwhile.
func (q *Queue) leave(granted chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, granted); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.running--
	q.grant()
}

func (q *Queue) grant() {
	for q.running < q.limit && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}
