package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// maxEntries is the number of entries that the log keeps.
const maxEntries = 100_000

// XID is the id of a transaction.
type XID uint64

// Operation is the kind of a change.
type Operation string

// The operations.
const (
	OperationInsert Operation = "insert"
	OperationUpdate Operation = "update"
	OperationDelete Operation = "delete"
)

// Change is one change of one row.
type Change struct {
	Operation Operation     `json:"operation"`
	Table     sql.TableName `json:"table"`
	ID        RowID         `json:"id"`
	Columns   []Field       `json:"columns,omitempty"`
}

// Entry is one committed transaction.
type Entry struct {
	Term     chervilladder.Term     `json:"term"`
	Position chervilladder.Position `json:"position"`
	XID      XID                    `json:"xid"`
	Changes  []Change               `json:"changes"`
}

// receivedEntry is an entry with the time at which it was received.
type receivedEntry struct {
	entry Entry
	at    time.Time
}

// Log is the list of the committed transactions that a member has received.
type Log struct {
	mu      sync.Mutex
	entries []receivedEntry
	// base is the mark of the entry before the first one kept.
	base chervilladder.Mark
	// completeTerm is the newest term for which the log is known to hold
	// all entries of earlier terms.
	completeTerm chervilladder.Term
	// grown is closed and replaced when the log grows.
	grown chan struct{}
}

func newLog() *Log { return &Log{grown: make(chan struct{})} }

// Last returns the mark of the last entry.
func (l *Log) Last() chervilladder.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last()
}

// Reached returns the log's last position, with the newest term for which the
// log holds all entries of earlier terms.
func (l *Log) Reached() chervilladder.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.last()
	m.Term = max(m.Term, l.completeTerm)
	return m
}

// MarkComplete records that the log holds all entries that precede a term.
func (l *Log) MarkComplete(t chervilladder.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completeTerm = max(l.completeTerm, t)
}

// Entries returns the entries that the log still holds.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return entriesOf(l.entries)
}

// Tail holds the entries of a log after a mark.
type Tail struct {
	Entries []Entry
	// Grown closes when the log grows.
	Grown <-chan struct{}
	// Diverged is set when the log doesn't hold the mark's entry: the
	// follower's log has diverged from this one, or is so far behind that
	// the entry has been trimmed.
	Diverged bool
}

// After returns up to limit entries after a mark.
func (l *Log) After(m chervilladder.Mark, limit int) Tail {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holds(m) {
		return Tail{Grown: l.grown, Diverged: true}
	}
	rest := l.entries[m.Position-l.base.Position:]
	return Tail{Entries: entriesOf(rest[:min(limit, len(rest))]), Grown: l.grown}
}

// next returns the first entry after a position, if there is one, and a channel
// that closes when the log grows.
func (l *Log) next(p chervilladder.Position) (receivedEntry, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p < l.base.Position || p >= l.last().Position {
		return receivedEntry{}, l.grown, false
	}
	return l.entries[p-l.base.Position], l.grown, true
}

// append appends an entry. It returns false when the entry's position isn't the
// next one.
func (l *Log) append(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Position != l.last().Position+1 {
		return false
	}
	l.entries = append(l.entries, receivedEntry{entry: e, at: time.Now()})
	l.wake()
	return true
}

// trim drops the oldest replayed entries once the log exceeds maxEntries by
// more than a tenth.
func (l *Log) trim(replayed chervilladder.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := min(len(l.entries)-maxEntries, int(replayed-l.base.Position))
	if excess > maxEntries/10 {
		l.base = markOf(l.entries[excess-1].entry)
		l.entries = slices.Clone(l.entries[excess:])
	}
}

// replace replaces the log's content.
func (l *Log) replace(base chervilladder.Mark, entries []Entry, completeTerm chervilladder.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.completeTerm, l.entries = base, completeTerm, nil
	for _, e := range entries {
		l.entries = append(l.entries, receivedEntry{entry: e})
	}
	l.wake()
}

func (l *Log) wake() {
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *Log) last() chervilladder.Mark {
	if len(l.entries) == 0 {
		return l.base
	}
	return markOf(l.entries[len(l.entries)-1].entry)
}

// holds reports whether the log holds the entry of a mark. If so, the log that
// the mark comes from is the same as this one up to the mark.
func (l *Log) holds(m chervilladder.Mark) bool {
	if m.Position < l.base.Position || m.Position > l.last().Position {
		return false
	}
	if m.Position == l.base.Position {
		return m.Term == l.base.Term
	}
	return l.entries[m.Position-l.base.Position-1].entry.Term == m.Term
}

func markOf(e Entry) chervilladder.Mark {
	return chervilladder.Mark{Term: e.Term, Position: e.Position}
}

func entriesOf(list []receivedEntry) []Entry {
	entries := make([]Entry, len(list))
	for i, r := range list {
		entries[i] = r.entry
	}
	return entries
}
