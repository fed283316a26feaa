// Package lab has what the scripts of the review share: stand-ins of the platform and of
// its clients, the project's own stand-ins of backends, and the VMs as separate processes.
package lab

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is what was sent, answered and run, as lines with the time since the start.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord returns a record that writes to a file and to the standard output.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: io.MultiWriter(f, os.Stdout), start: time.Now()}, nil
}

// Notef writes one line.
func (r *Record) Notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// NotRunError reports that a case could not run.
type NotRunError struct{ Reason string }

// Error returns the reason.
func (e *NotRunError) Error() string { return "the case could not run: " + e.Reason }

// Abort ends a case that can't run. Run recovers it.
func Abort(format string, args ...any) { panic(&NotRunError{Reason: fmt.Sprintf(format, args...)}) }
