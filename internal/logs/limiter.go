package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// DefaultRepeatEvery is how often a repeated message is written.
const DefaultRepeatEvery = 10 * time.Second

// DefaultBurst is how often a message is written before it counts as repeated.
const DefaultBurst = 5

// maxMessages bounds the messages that are remembered.
const maxMessages = 1000

// repeatedField tells how many lines with the same message were left out.
const repeatedField = "repeated"

// limiter formats entries, and leaves out those whose message repeats too
// often. Messages are short fixed sentences, so what differs between two
// occurrences is in their fields.
type limiter struct {
	inner logrus.Formatter
	every time.Duration
	burst int

	mu       sync.Mutex
	messages map[string]*repeats
}

type repeats struct {
	since   time.Time
	written int
	skipped int
}

func newLimiter(inner logrus.Formatter, every time.Duration, burst int) *limiter {
	if burst == 0 {
		burst = DefaultBurst
	}
	if every == 0 {
		every = DefaultRepeatEvery
	}
	return &limiter{inner: inner, every: every, burst: burst, messages: make(map[string]*repeats)}
}

// Format returns the line of an entry, or nothing if it is left out.
func (l *limiter) Format(e *logrus.Entry) ([]byte, error) {
	skipped, write := l.admit(e)
	if !write {
		return nil, nil
	}
	if skipped > 0 {
		e = withField(e, repeatedField, skipped)
	}
	return l.inner.Format(e)
}

// admit decides whether an entry is written, and returns how many with the
// same message were left out since the last one.
func (l *limiter) admit(e *logrus.Entry) (skipped int, write bool) {
	if e.Level <= logrus.FatalLevel {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r, known := l.messages[e.Message]
	if !known {
		l.makeRoom(now)
		l.messages[e.Message] = &repeats{since: now, written: 1}
		return 0, true
	}
	if now.Sub(r.since) >= l.every {
		skipped = r.skipped
		*r = repeats{since: now, written: 1}
		return skipped, true
	}
	if r.written >= l.burst {
		r.skipped++
		return 0, false
	}
	r.written++
	return 0, true
}

// makeRoom forgets the messages that have not come up for a while, or all if
// there are none.
func (l *limiter) makeRoom(now time.Time) {
	if len(l.messages) < maxMessages {
		return
	}
	for m, r := range l.messages {
		if now.Sub(r.since) >= l.every {
			delete(l.messages, m)
		}
	}
	if len(l.messages) >= maxMessages {
		clear(l.messages)
	}
}

// withField returns a copy of an entry with one more field. The copy keeps
// what a formatter reads.
func withField(e *logrus.Entry, key string, value any) *logrus.Entry {
	fields := make(logrus.Fields, len(e.Data)+1)
	for k, v := range e.Data {
		fields[k] = v
	}
	fields[key] = value
	next := *e
	next.Data = fields
	return &next
}
