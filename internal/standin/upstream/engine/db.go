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

// Guard is asked at a commit that writes. It calls commit with the term of the
// primary while neither the role nor the claim can change, or returns why the
// transaction may not commit.
type Guard func(commit func(chervilladder.Term) error) error

// Config configures a DB.
type Config struct {
	// Primary reports whether the member takes itself for the primary.
	Primary func() bool
}

// DB is the tables of one member with their log.
type DB struct {
	primary func() bool
	version atomic.Pointer[Version]
	// mu is held by whoever makes the next version.
	mu    sync.Mutex
	log   *Log
	locks *lockTable
	xids  *xidTable

	openMu sync.Mutex
	open   map[*Txn]struct{}
}

// New returns a DB without tables.
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

// Version returns the tables as they are committed and replayed.
func (d *DB) Version() *Version { return d.version.Load() }

// Log returns the log.
func (d *DB) Log() *Log { return d.log }

// Progress is how far a member has come, at one moment.
type Progress struct {
	// Reached is the last position of the log, in the newest term of which
	// the log holds all that came before.
	Reached chervilladder.Mark
	// Replayed is the position up to which the tables hold the log.
	Replayed chervilladder.Position
}

// Progress returns how far the log and the tables have come. A position that
// was replayed in a log that is replaced meanwhile never comes with the term
// of the new one.
func (d *DB) Progress() Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Progress{Reached: d.log.Reached(), Replayed: d.Version().Mark.Position}
}

// Status returns what became of a transaction.
func (d *DB) Status(id XID) Status { return d.xids.status(id) }

// Begin opens a transaction.
func (d *DB) Begin(readOnly bool) *Txn {
	t := &Txn{db: d, readOnly: readOnly, ended: make(chan struct{})}
	d.openMu.Lock()
	defer d.openMu.Unlock()
	d.open[t] = struct{}{}
	return t
}

// assignXID gives a transaction its id.
func (d *DB) assignXID(t *Txn) (XID, error) {
	if !d.primary() {
		return 0, pgerror.New(pgerror.ReadOnly, "cannot assign transaction ids during recovery")
	}
	return d.xids.assign(), nil
}

// settle takes a transaction off the list of open ones and notes its status.
func (d *DB) settle(t *Txn, s Status) {
	d.openMu.Lock()
	delete(d.open, t)
	d.openMu.Unlock()
	if id := t.XID(); id != 0 && d.xids.status(id) == StatusInProgress {
		d.xids.note(id, s)
	}
}

// StepDown ends all open transactions that hold an id. The member must no
// longer be primary when it is called.
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

// Promote replays all that has been received, and makes ids rise above those
// that the former primary gave out.
func (d *DB) Promote(term chervilladder.Term) {
	for d.Replay(d.Version().Mark.Position + 1) {
	}
	d.xids.skip()
	d.log.Agree(term)
}

func (d *DB) commit(t *Txn, guard Guard) error {
	return guard(func(term chervilladder.Term) error {
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

// apply makes the version that holds one more entry.
func (d *DB) apply(e Entry) {
	b := newBuilder(d.version.Load())
	for _, c := range e.Changes {
		b.apply(c)
	}
	b.version.Mark = markOf(e)
	d.xids.note(e.XID, StatusCommitted)
	d.version.Store(b.version)
	d.log.trim(e.Position)
}

// Receive adds an entry to the log without replaying it. It returns false when
// it isn't the one that follows.
func (d *DB) Receive(e Entry) bool { return d.log.append(e) }

// Replay replays the entry at a position. It returns false when that isn't the
// next one, or has not been received.
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

// AwaitReplay waits until an entry is received that has not been replayed, and
// returns its position and when it came.
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

// Snapshot is the whole content of a member.
type Snapshot struct {
	Mark   chervilladder.Mark `json:"mark"`
	Agreed chervilladder.Term `json:"agreed"`
	Base   chervilladder.Mark `json:"base"`
	// Entries are the entries of the log that are kept.
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

// Snapshot returns the whole content.
func (d *DB) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.version.Load()
	s := Snapshot{Mark: v.Mark, Agreed: d.log.Reached().Term, Entries: d.log.Kept(), Committed: d.xids.committed()}
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

// Restore takes the content of another member in place of one's own.
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
	d.log.replace(s.Base, s.Entries, s.Agreed)
	d.version.Store(b.version)
}
