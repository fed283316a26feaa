package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of a queue.
const (
	// maxQueuedBytes bounds the queued lines; lines beyond it are dropped.
	maxQueuedBytes = 256 << 10
	// flushDelay is how long the first queued line waits for others before
	// the queue is written.
	flushDelay = 20 * time.Millisecond
)

// Queue is a writer that queues log lines and never blocks on the output.
// Writes that don't fit into the queue are dropped and counted.
//
// Use:
//
//	q := logs.NewQueue(os.Stdout)
//	go q.Run(ctx)
//	log, err := logs.New(logs.Config{Output: q, …})
type Queue struct {
	output  io.Writer
	dropped atomic.Uint64

	mu       sync.Mutex
	waiting  []byte
	spare    []byte
	reported uint64
	wake     chan struct{}
}

// NewQueue returns a queue in front of an output.
func NewQueue(output io.Writer) *Queue {
	return &Queue{output: output, wake: make(chan struct{}, 1)}
}

// Write queues whole lines or drops them. It never returns an error.
func (q *Queue) Write(lines []byte) (int, error) {
	q.mu.Lock()
	if len(q.waiting)+len(lines) > maxQueuedBytes {
		q.mu.Unlock()
		q.dropped.Add(1)
		return len(lines), nil
	}
	first := len(q.waiting) == 0
	q.waiting = append(q.waiting, lines...)
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return len(lines), nil
}

// Dropped returns how many writes were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes queued lines until the context ends, then flushes the rest.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			q.Flush()
			return nil
		}
		t := time.NewTimer(flushDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		q.Flush()
	}
}

// Flush writes the queued lines. A failed write can't be reported anywhere, so
// it counts as dropped.
func (q *Queue) Flush() {
	q.mu.Lock()
	batch := q.waiting
	q.waiting, q.spare = q.spare[:0], nil
	dropped := q.dropped.Load()
	unreported := dropped - q.reported
	q.reported = dropped
	q.mu.Unlock()
	if unreported > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"logs: writes dropped\",\"dropped\":%d}\n", unreported)
	}
	if len(batch) > 0 {
		if _, err := q.output.Write(batch); err != nil {
			q.dropped.Add(1)
		}
	}
	q.mu.Lock()
	q.spare = batch
	q.mu.Unlock()
}
