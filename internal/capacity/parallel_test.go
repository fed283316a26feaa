package capacity_test

import (
	"sync"
	"sync/atomic"
	"testing"
)

// inParallel runs b.N steps on a number of goroutines and times them.
func inParallel(b *testing.B, workers int, step func() error) {
	b.Helper()
	steps := make([]func() error, workers)
	for i := range steps {
		steps[i] = step
	}
	eachInParallel(b, steps)
}

// eachInParallel runs b.N steps in total and times them, with each function on a
// goroutine of its own.
func eachInParallel(b *testing.B, steps []func() error) {
	b.Helper()
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for _, step := range steps {
		wait.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if err := step(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	b.StopTimer()
}
