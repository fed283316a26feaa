package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of what waits to be written.
const (
	// maxQueuedBytes is the most that waits; lines beyond it are dropped.
	maxQueuedBytes = 256 << 10
	// flushEvery is how often what waits is written.
	flushEvery = 20 * time.Millisecond
)

// Queue takes log lines without ever waiting for the output. Lines that don't
// fit are dropped and counted:
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

// Write queues whole lines. It never fails.
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

// Run writes what is queued until the context ends, and then the rest.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			q.Flush()
			return nil
		}
		t := time.NewTimer(flushEvery)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		q.Flush()
	}
}

// Flush writes what is queued. A failed output can't be reported anywhere, so
// its lines count as dropped.
func (q *Queue) Flush() {
	q.mu.Lock()
	batch := q.waiting
	q.waiting, q.spare = q.spare[:0], nil
	dropped := q.dropped.Load()
	news := dropped - q.reported
	q.reported = dropped
	q.mu.Unlock()
	if news > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"logs: lines dropped\",\"dropped\":%d}\n", news)
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
