package engine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// CommitCheck decides whether a transaction with changes may commit. It calls
// commit with the primary's term while neither the role nor the claim can
// change, or returns an error that says why the transaction may not commit.
type CommitCheck func(commit func(chervilladder.Term) error) error

// Config configures a DB.
type Config struct {
	// Primary reports whether the member considers itself primary.
	Primary func() bool
}

// DB holds the tables of one member and its log.
type DB struct {
	primary func() bool
	version atomic.Pointer[Version]
	// mu serialises the creation of versions.
	mu    sync.Mutex
	log   *Log
	locks *lockTable
	xids  *xidTable

	openMu sync.Mutex
	open   map[*Txn]struct{}
}

// New returns an empty DB.
func New(c Config) (*DB, error) {
	if c.Primary == nil {
		return nil, errors.New("engine: Primary is required")
	}
	db := &DB{
		primary: c.Primary,
		log:     newLog(),
		locks:   newLockTable(),
		xids:    newXIDTable(),
		open:    map[*Txn]struct{}{},
	}
	db.version.Store(&Version{})
	return db, nil
}

// Version returns the present version of the tables, with all that is committed
// and replayed.
func (d *DB) Version() *Version { return d.version.Load() }

// Log returns the log.
func (d *DB) Log() *Log { return d.log }

// Progress is how far a member's log and tables have come, read at one point in
// time.
type Progress struct {
	// Reached is the last position of the log, with the newest term for
	// which the log holds all entries of earlier terms.
	Reached chervilladder.Mark
	// Replayed is the last position that the tables include.
	Replayed chervilladder.Position
}

// Progress returns how far the log and the tables have come. It takes both
// under one lock, so that a position replayed from a log that has been replaced
// never comes with the term of the new log.
func (d *DB) Progress() Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Progress{Reached: d.log.Reached(), Replayed: d.Version().Mark.Position}
}

// Status returns the status of a transaction.
func (d *DB) Status(id XID) Status { return d.xids.status(id) }

// Begin opens a transaction.
func (d *DB) Begin(readOnly bool) *Txn {
	t := &Txn{db: d, readOnly: readOnly, ended: make(chan struct{})}
	d.openMu.Lock()
	defer d.openMu.Unlock()
	d.open[t] = struct{}{}
	return t
}

// assignXID returns a new id for a transaction. Only the primary assigns ids.
func (d *DB) assignXID(t *Txn) (XID, error) {
	if !d.primary() {
		return 0, pgerror.New(pgerror.ReadOnly, "cannot assign transaction ids during recovery")
	}
	return d.xids.assign(), nil
}

// finish removes a transaction from the open ones and records its final status.
func (d *DB) finish(t *Txn, s Status) {
	d.openMu.Lock()
	delete(d.open, t)
	d.openMu.Unlock()
	if id := t.XID(); id != 0 && d.xids.status(id) == StatusInProgress {
		d.xids.record(id, s)
	}
}

// StepDown aborts all open transactions that have an id. It must be called
// after the member's demotion, so that no further transaction gets an id.
func (d *DB) StepDown() {
	cause := pgerror.New(pgerror.ReadOnly, "member is no longer primary; transaction rolled back")
	d.openMu.Lock()
	open := make([]*Txn, 0, len(d.open))
	for t := range d.open {
		open = append(open, t)
	}
	d.openMu.Unlock()
	for _, t := range open {
		if t.XID() != 0 {
			t.Abort(cause)
		}
	}
}

// Promote replays all received entries, and raises the next transaction id
// above those that the former primary may have assigned.
func (d *DB) Promote(term chervilladder.Term) {
	for d.Replay(d.Version().Mark.Position + 1) {
	}
	d.xids.skipAssigned()
	d.log.MarkComplete(term)
}

func (d *DB) commit(t *Txn, check CommitCheck) error {
	return check(func(term chervilladder.Term) error {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := t.Err(); err != nil {
			return err
		}
		old := d.version.Load()
		e := Entry{Term: term, Position: old.Mark.Position + 1, XID: t.XID(), Changes: t.changes}
		if !d.log.append(e) {
			return pgerror.New(pgerror.ReadOnly, "member is still replaying its log")
		}
		d.apply(e)
		return nil
	})
}

// apply publishes the version that includes one more entry.
func (d *DB) apply(e Entry) {
	b := newBuilder(d.version.Load())
	for _, c := range e.Changes {
		b.apply(c)
	}
	b.version.Mark = markOf(e)
	d.xids.record(e.XID, StatusCommitted)
	d.version.Store(b.version)
	d.log.trim(e.Position)
}

// Receive appends an entry to the log without replaying it. It returns false
// when the entry doesn't follow the last one.
func (d *DB) Receive(e Entry) bool { return d.log.append(e) }

// Replay replays the entry at a position. It returns false when the entry isn't
// the next one to replay, or hasn't been received.
func (d *DB) Replay(p chervilladder.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, _, ok := d.log.next(d.version.Load().Mark.Position)
	if !ok || next.entry.Position != p {
		return false
	}
	d.apply(next.entry)
	return true
}

// AwaitReplay waits for a received entry that hasn't been replayed, and returns
// its position and when it was received.
func (d *DB) AwaitReplay(ctx context.Context) (chervilladder.Position, time.Time, error) {
	for {
		next, grown, ok := d.log.next(d.version.Load().Mark.Position)
		if ok {
			return next.entry.Position, next.at, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return 0, time.Time{}, ctx.Err()
		}
	}
}

// Snapshot is the whole content of a member, as sent to a replica whose log the
// primary can't continue.
type Snapshot struct {
	Mark         chervilladder.Mark `json:"mark"`
	CompleteTerm chervilladder.Term `json:"agreed"`
	Base         chervilladder.Mark `json:"base"`
	// Entries are the entries that the log still holds. Base is the mark of
	// the entry before them.
	Entries   []Entry     `json:"entries"`
	Tables    []TableDump `json:"tables"`
	LastXID   XID         `json:"last-xid"`
	Committed []XID       `json:"committed"`
}

// TableDump is the content of one table in the order of insertion.
type TableDump struct {
	Name    sql.TableName    `json:"name"`
	Columns []sql.ColumnName `json:"columns"`
	Rows    []Change         `json:"rows"`
}

// Snapshot returns a snapshot of the member's content.
func (d *DB) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.version.Load()
	s := Snapshot{Mark: v.Mark, CompleteTerm: d.log.Reached().Term, Entries: d.log.Entries(), Committed: d.xids.committed()}
	d.log.mu.Lock()
	s.Base = d.log.base
	d.log.mu.Unlock()
	for name, t := range v.tables {
		s.Tables = append(s.Tables, dump(name, t))
	}
	for _, id := range s.Committed {
		s.LastXID = max(s.LastXID, id)
	}
	return s
}

func dump(name sql.TableName, t *Table) TableDump {
	rows := t.Rows()
	slices.SortFunc(rows, func(a, b *Row) int { return cmp.Compare(a.order, b.order) })
	out := TableDump{Name: name, Columns: t.Columns}
	for _, r := range rows {
		out.Rows = append(out.Rows, Change{Operation: OperationInsert, Table: name, ID: r.ID, Columns: r.Fields})
	}
	return out
}

// Restore replaces the member's content by another member's snapshot.
func (d *DB) Restore(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := newBuilder(&Version{})
	for _, t := range s.Tables {
		b.table(t.Name).Columns = t.Columns
		for _, row := range t.Rows {
			b.apply(row)
		}
	}
	b.version.Mark = s.Mark
	d.xids.replace(s.LastXID, s.Committed)
	d.log.replace(s.Base, s.Entries, s.CompleteTerm)
	d.version.Store(b.version)
}
