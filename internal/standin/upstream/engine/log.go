package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// maxKept is how many entries the log keeps.
const maxKept = 100_000

// XID is the id of a transaction.
type XID uint64

// Operation is what a change does with its row.
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

// received is an entry with the time at which it came.
type received struct {
	entry Entry
	at    time.Time
}

// Log is the list of the committed transactions that a member has received.
type Log struct {
	mu      sync.Mutex
	entries []received
	// base is the mark of the entry before the first that is kept.
	base chervilladder.Mark
	// agreed is the newest term whose first state the log holds whole.
	agreed chervilladder.Term
	grown  chan struct{}
}

func newLog() *Log { return &Log{grown: make(chan struct{})} }

// Last returns the mark of the last entry.
func (l *Log) Last() chervilladder.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last()
}

// Reached returns how far the log has come: its last position, in the newest
// term of which it holds all that came before.
func (l *Log) Reached() chervilladder.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.last()
	m.Term = max(m.Term, l.agreed)
	return m
}

// Agree notes that the log holds all that came before a term.
func (l *Log) Agree(t chervilladder.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agreed = max(l.agreed, t)
}

// Kept returns the entries that are kept.
func (l *Log) Kept() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return entriesOf(l.entries)
}

// Tail is what a log holds after a mark.
type Tail struct {
	Entries []Entry
	// Grown closes when the log grows.
	Grown <-chan struct{}
	// Parted is set when the log doesn't hold the mark's entry: the
	// follower's log has parted from this one, or lies too far back.
	Parted bool
}

// After returns up to limit entries after a mark.
func (l *Log) After(m chervilladder.Mark, limit int) Tail {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holds(m) {
		return Tail{Grown: l.grown, Parted: true}
	}
	rest := l.entries[m.Position-l.base.Position:]
	return Tail{Entries: entriesOf(rest[:min(limit, len(rest))]), Grown: l.grown}
}

// next returns the first entry after a position with the time at which it
// came, if there is one.
func (l *Log) next(p chervilladder.Position) (received, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p < l.base.Position || p >= l.last().Position {
		return received{}, l.grown, false
	}
	return l.entries[p-l.base.Position], l.grown, true
}

// append adds an entry. It returns false when it isn't the next one.
func (l *Log) append(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Position != l.last().Position+1 {
		return false
	}
	l.entries = append(l.entries, received{entry: e, at: time.Now()})
	l.wake()
	return true
}

// trim drops old entries that have been replayed, when there are many.
func (l *Log) trim(replayed chervilladder.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := min(len(l.entries)-maxKept, int(replayed-l.base.Position))
	if excess > maxKept/10 {
		l.base = markOf(l.entries[excess-1].entry)
		l.entries = slices.Clone(l.entries[excess:])
	}
}

// replace gives the log another content.
func (l *Log) replace(base chervilladder.Mark, entries []Entry, agreed chervilladder.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.agreed, l.entries = base, agreed, nil
	for _, e := range entries {
		l.entries = append(l.entries, received{entry: e})
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

// holds reports whether the entry of a mark is in the log, so that both logs
// are the same up to it.
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

func entriesOf(list []received) []Entry {
	entries := make([]Entry, len(list))
	for i, r := range list {
		entries[i] = r.entry
	}
	return entries
}
