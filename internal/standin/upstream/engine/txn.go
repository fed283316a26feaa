package engine

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// Txn is one transaction at READ COMMITTED. One goroutine uses it; any
// goroutine may abort it.
type Txn struct {
	db       *DB
	readOnly bool
	xid      atomic.Uint64
	changes  []Change
	// rows holds the transaction's own version of the rows it has changed;
	// nil stands for deleted.
	rows       map[rowKey]*Row
	savepoints []savepoint

	// held and waiting are protected by the lock table's mutex.
	held    []rowKey
	waiting *lock

	ended chan struct{}
	cause atomic.Pointer[pgerror.Error]
}

// firstUncommittedOrder is where the order of uncommitted rows starts, above
// that of all committed rows.
const firstUncommittedOrder = 1 << 62

// savepoint is the state of a transaction at a savepoint.
type savepoint struct {
	name    string
	changes int
	rows    map[rowKey]*Row
}

// errEnded is returned by a transaction that has been committed or rolled back.
var errEnded = pgerror.New(pgerror.NoTransaction, "transaction has ended")

// Err returns the error with which the transaction has ended, or nil while it
// is open.
func (t *Txn) Err() error {
	if e := t.cause.Load(); e != nil {
		return e
	}
	return nil
}

// SetReadOnly sets whether the transaction rejects writes.
func (t *Txn) SetReadOnly(on bool) { t.readOnly = on }

// ReadOnly reports whether the transaction rejects writes.
func (t *Txn) ReadOnly() bool { return t.readOnly }

// end makes all later operations fail with the cause, and releases the locks.
func (t *Txn) end(cause *pgerror.Error) {
	if t.cause.CompareAndSwap(nil, cause) {
		close(t.ended)
		t.db.locks.release(t)
	}
}

// Wrote reports whether the transaction has changed a row.
func (t *Txn) Wrote() bool { return len(t.changes) > 0 }

// XID returns the transaction's id, or 0 when it has none.
func (t *Txn) XID() XID { return XID(t.xid.Load()) }

// AssignXID assigns an id to the transaction if it has none, and returns its
// id.
func (t *Txn) AssignXID() (XID, error) {
	if err := t.Err(); err != nil {
		return 0, err
	}
	if t.xid.Load() == 0 {
		id, err := t.db.assignXID(t)
		if err != nil {
			return 0, err
		}
		t.xid.Store(uint64(id))
	}
	return t.XID(), nil
}

// Writable returns an error when the transaction may not write.
func (t *Txn) Writable(class sql.Class) error {
	if err := t.Err(); err != nil {
		return err
	}
	if t.readOnly || !t.db.primary() {
		return pgerror.New(pgerror.ReadOnly, "cannot execute %s in a read-only transaction", class)
	}
	return nil
}

// Lock locks a row until the transaction ends.
func (t *Txn) Lock(ctx context.Context, table sql.TableName, id RowID) error {
	return t.db.locks.acquire(ctx, t, rowKey{table, id})
}

// Row returns a row as the transaction sees it now, or nil.
func (t *Txn) Row(table sql.TableName, id RowID) *Row {
	if r, ok := t.rows[rowKey{table, id}]; ok {
		return r
	}
	return t.db.Version().Table(table).Row(id)
}

// Rows returns all rows of a table as the transaction sees them now, in the
// order of their insertion.
func (t *Txn) Rows(table sql.TableName) []*Row {
	rows := slices.DeleteFunc(t.db.Version().Table(table).Rows(), func(r *Row) bool {
		_, own := t.rows[rowKey{table, r.ID}]
		return own
	})
	for key, r := range t.rows {
		if key.table == table && r != nil {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Compare(a.order, b.order)
	})
	return rows
}

// Columns returns the columns of a table as the transaction sees it, the id
// first.
func (t *Txn) Columns(table sql.TableName) []sql.ColumnName {
	columns := t.db.Version().Columns(table)
	for _, c := range t.changes {
		if c.Table != table {
			continue
		}
		for _, f := range c.Columns {
			if !slices.Contains(columns, f.Name) {
				columns = append(columns, f.Name)
			}
		}
	}
	return columns
}

// Insert adds a row. The transaction must hold its lock.
func (t *Txn) Insert(table sql.TableName, id RowID, fields []Field) (*Row, error) {
	row := &Row{ID: id, Fields: fields, order: firstUncommittedOrder + uint64(len(t.changes))}
	return row, t.change(Change{Operation: OperationInsert, Table: table, ID: id, Columns: fields}, row)
}

// Update changes columns of a row. The transaction must hold its lock.
func (t *Txn) Update(table sql.TableName, row *Row, fields []Field) (*Row, error) {
	next := row.with(fields)
	return next, t.change(Change{Operation: OperationUpdate, Table: table, ID: row.ID, Columns: fields}, next)
}

// Delete removes a row. The transaction must hold its lock.
func (t *Txn) Delete(table sql.TableName, id RowID) error {
	return t.change(Change{Operation: OperationDelete, Table: table, ID: id}, nil)
}

func (t *Txn) change(c Change, row *Row) error {
	if _, err := t.AssignXID(); err != nil {
		return err
	}
	if t.rows == nil {
		t.rows = map[rowKey]*Row{}
	}
	t.changes = append(t.changes, c)
	t.rows[rowKey{c.Table, c.ID}] = row
	return nil
}

// Save sets a savepoint.
func (t *Txn) Save(name string) {
	t.savepoints = append(t.savepoints, savepoint{name: name, changes: len(t.changes), rows: maps.Clone(t.rows)})
}

// RollbackTo undoes the changes made after a savepoint. Locks stay held.
func (t *Txn) RollbackTo(name string) error {
	i := t.savepoint(name)
	if i < 0 {
		return noSavepoint(name)
	}
	s := t.savepoints[i]
	t.savepoints = t.savepoints[:i+1]
	t.changes = t.changes[:s.changes]
	t.rows = maps.Clone(s.rows)
	return nil
}

// Release removes a savepoint and those after it.
func (t *Txn) Release(name string) error {
	i := t.savepoint(name)
	if i < 0 {
		return noSavepoint(name)
	}
	t.savepoints = t.savepoints[:i]
	return nil
}

func (t *Txn) savepoint(name string) int {
	for i, s := range slices.Backward(t.savepoints) {
		if s.name == name {
			return i
		}
	}
	return -1
}

func noSavepoint(name string) error {
	return pgerror.New(pgerror.InvalidSavepoint, "savepoint %q does not exist", name)
}

// Rollback rolls the transaction back. It may follow a failed Commit.
func (t *Txn) Rollback() { t.Abort(errEnded) }

// Abort rolls the transaction back, also from another goroutine. Later
// operations on it fail with the cause. It does nothing once the commit has
// taken place.
func (t *Txn) Abort(cause *pgerror.Error) {
	t.db.finish(t, StatusAborted)
	t.end(cause)
}

// Commit makes the transaction's changes visible to all and appends them to the
// log. If there are changes, check decides whether it may, while neither the
// role nor the claim can change.
func (t *Txn) Commit(check CommitCheck) error {
	err := t.Err()
	if err == nil && t.Wrote() {
		err = t.db.commit(t, check)
	}
	if err != nil {
		t.Rollback()
		var own *pgerror.Error
		if errors.As(err, &own) {
			return err
		}
		return pgerror.New(pgerror.Internal, "%v", err)
	}
	t.db.finish(t, StatusCommitted)
	t.end(errEnded)
	return nil
}
