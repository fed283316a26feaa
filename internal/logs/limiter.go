package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// DefaultRepeatEvery is the interval for repeated messages if
// Config.RepeatEvery is zero.
const DefaultRepeatEvery = 10 * time.Second

// DefaultBurst is how many lines with the same message are written per interval
// if Config.Burst is zero.
const DefaultBurst = 5

// maxMessages bounds the number of messages that the limiter tracks.
const maxMessages = 1000

// repeatedField is the key of the field that holds how many lines with the same
// message were suppressed.
const repeatedField = "repeated"

// limiter formats entries and suppresses those whose message repeats too often.
// It compares only messages, since they are short fixed sentences and what
// differs between two occurrences is in their fields.
type limiter struct {
	inner logrus.Formatter
	every time.Duration
	burst int

	mu       sync.Mutex
	messages map[string]*messageCount
}

type messageCount struct {
	since      time.Time
	written    int
	suppressed int
}

func newLimiter(inner logrus.Formatter, every time.Duration, burst int) *limiter {
	if burst == 0 {
		burst = DefaultBurst
	}
	if every == 0 {
		every = DefaultRepeatEvery
	}
	return &limiter{inner: inner, every: every, burst: burst, messages: make(map[string]*messageCount)}
}

// Format returns the line of an entry, or nothing if the entry is suppressed.
func (l *limiter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, write := l.admit(e)
	if !write {
		return nil, nil
	}
	if suppressed > 0 {
		e = withField(e, repeatedField, suppressed)
	}
	return l.inner.Format(e)
}

// admit reports whether an entry is written, and returns how many with the same
// message were suppressed since the last one that was written.
func (l *limiter) admit(e *logrus.Entry) (suppressed int, write bool) {
	// Panic and fatal lines are always written; a lower level is more severe.
	if e.Level <= logrus.FatalLevel {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r, known := l.messages[e.Message]
	if !known {
		l.evict(now)
		l.messages[e.Message] = &messageCount{since: now, written: 1}
		return 0, true
	}
	if now.Sub(r.since) >= l.every {
		suppressed = r.suppressed
		*r = messageCount{since: now, written: 1}
		return suppressed, true
	}
	if r.written >= l.burst {
		r.suppressed++
		return 0, false
	}
	r.written++
	return 0, true
}

// evict removes messages if maxMessages are tracked. It removes those whose
// interval has passed; if none has, it removes all.
func (l *limiter) evict(now time.Time) {
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

// withField returns a copy of an entry with an additional field. All else that
// a formatter reads is the same.
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
