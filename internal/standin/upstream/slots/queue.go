// Package slots limits the number of statements that a member of a group
// executes concurrently.
package slots

import (
	"context"
	"slices"
	"sync"
)

// Queue grants slots in the order of arrival.
type Queue struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting []chan struct{}
	// maxWaiting is the maximum length that waiting has had.
	maxWaiting int
}

// NewQueue returns a queue with limit slots.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Acquire takes a slot, and waits in the queue while none is free.
func (q *Queue) Acquire(ctx context.Context) error {
	granted := q.takeOrEnqueue()
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		q.cancelWait(granted)
		return context.Cause(ctx)
	}
}

// Release returns a slot.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

// SetLimit changes the number of slots. Running statements continue.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
	q.grant()
}

// Load is the usage of a queue.
type Load struct {
	Running int
	Waiting int
	// MaxWaiting is the maximum length that the queue has had.
	MaxWaiting int
}

// Load returns the present usage.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{Running: q.running, Waiting: len(q.waiting), MaxWaiting: q.maxWaiting}
}

// takeOrEnqueue takes a slot and returns nil, or joins the queue and returns a
// channel that closes once a slot is granted.
func (q *Queue) takeOrEnqueue() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return nil
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	q.maxWaiting = max(q.maxWaiting, len(q.waiting))
	return granted
}

// cancelWait leaves the queue, or returns the slot if it has been granted
// meanwhile.
func (q *Queue) cancelWait(granted chan struct{}) {
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
