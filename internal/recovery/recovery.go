// Package recovery limits a panic to the session, call, stream or controller in which
// it happens. Every goroutine of a VM that serves a caller, a peer or a controller starts
// its work by Call or Loop.
package recovery

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// The times of Loop.
const (
	// firstPause and maxPause are the pauses before a part runs again. Each pause
	// is twice the one before.
	firstPause = 50 * time.Millisecond
	maxPause   = 5 * time.Second
	// stableAfter is how long a part must run for its earlier panics not to count.
	stableAfter = 10 * time.Second
)

// The numbers of panics in a row, without stableAfter between them, that have
// consequences for the VM.
const (
	// notReadyAfter is when the VM stops being ready: new callers are better served
	// by another one.
	notReadyAfter = 5
	// endAfter is when the VM ends: the part has failed for over a minute, and a new
	// process may work.
	endAfter = 20
)

// Part names the part of a VM in which a panic happened, in logs and metrics.
type Part string

// PanicError reports a panic.
type PanicError struct {
	Part  Part
	Value any
}

// Error names the part and the panic's value.
func (e *PanicError) Error() string { return fmt.Sprintf("%s: panic: %v", e.Part, e.Value) }

// Metrics holds the counters of panics.
var Metrics = metrics.NewSet()

// failing counts the parts that panic again and again.
var failing atomic.Int64

// Failing reports whether a part of this VM panics again and again, so that the VM
// should get no new callers.
func Failing() bool { return failing.Load() > 0 }

// Call calls f. If f panics, Call logs the stack, counts the panic and returns a
// *PanicError. Deferred calls of f have run by then, so f must release what it holds by
// defer. A nil log stands for the standard logger.
func Call(log *logrus.Logger, part Part, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_panics{part=%q}", string(part))).Inc()
			if log == nil {
				log = logrus.StandardLogger()
			}
			log.WithFields(logrus.Fields{"panic": fmt.Sprint(value), "stack": string(debug.Stack())}).Error(string(part) + ": panic; this is a fault of the program, report it with its stack")
			err = &PanicError{Part: part, Value: value}
		}
	}()
	f()
	return nil
}

// Loop runs f, and again after a pause whenever it panics. It returns f's error, or a
// *PanicError once f has panicked endAfter times in a row.
func Loop(ctx context.Context, log *logrus.Logger, part Part, f func(context.Context) error) error {
	var streak panicStreak
	defer streak.reset()
	for {
		var result error
		stable := time.AfterFunc(stableAfter, streak.reset)
		err := Call(log, part, func() { result = f(ctx) })
		stable.Stop()
		if err == nil {
			return result
		}
		n := streak.add()
		if n == endAfter || !sleep(ctx, min(maxPause, firstPause<<(n-1))) {
			return err
		}
	}
}

// Go runs f by Loop in a goroutine of a group, for the parts of a controller. f returns
// when its context ends. If f panics endAfter times in a row, the process ends.
func Go(ctx context.Context, group *sync.WaitGroup, log *logrus.Logger, part Part, f func(context.Context)) {
	group.Go(func() {
		err := Loop(ctx, log, part, func(ctx context.Context) error {
			f(ctx)
			return nil
		})
		if err != nil && ctx.Err() == nil {
			panic(err)
		}
	})
}

// Group is a group of goroutines that work for one caller. A panic in one of them is
// repeated in the goroutine that waits, as if that had done the work itself. The zero
// Group is ready for use.
type Group struct {
	running sync.WaitGroup
	value   atomic.Value
}

// stackedPanic is the value of a panic that is repeated, with the stack of the goroutine
// in which it happened.
type stackedPanic struct {
	value any
	stack string
}

// String returns the panic's value and its stack.
func (p stackedPanic) String() string { return fmt.Sprintf("%v\n%s", p.value, p.stack) }

// Go runs f in a goroutine.
func (g *Group) Go(f func()) {
	g.running.Go(func() {
		defer func() {
			if value := recover(); value != nil {
				g.value.CompareAndSwap(nil, stackedPanic{value, string(debug.Stack())})
			}
		}()
		f()
	})
}

// Wait waits for the goroutines, and panics if one of them has.
func (g *Group) Wait() {
	g.running.Wait()
	if value := g.value.Load(); value != nil {
		panic(value)
	}
}

// panicStreak counts the panics of a part without stableAfter between them.
type panicStreak struct {
	mu sync.Mutex
	n  int
}

// add counts a panic and returns the length of the streak.
func (s *panicStreak) add() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	if s.n == notReadyAfter {
		failing.Add(1)
	}
	return s.n
}

// reset ends the streak.
func (s *panicStreak) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n >= notReadyAfter {
		failing.Add(-1)
	}
	s.n = 0
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
