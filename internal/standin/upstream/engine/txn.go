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

// Txn is one transaction at READ COMMITTED. One goroutine uses it; any may end
// it.
type Txn struct {
	db       *DB
	readOnly bool
	xid      atomic.Uint64
	changes  []Change
	// rows are the rows as the transaction has left them; nil is deleted.
	rows       map[rowKey]*Row
	savepoints []savepoint

	// held and waiting belong to the lock table.
	held    []rowKey
	waiting *lock

	ended chan struct{}
	cause atomic.Pointer[pgerror.Error]
}

// uncommitted is where the ranks of rows begin that are not yet committed.
const uncommitted = 1 << 62

// savepoint is the state of a transaction at a point.
type savepoint struct {
	name    string
	changes int
	rows    map[rowKey]*Row
}

// errOver is what a transaction that has been committed or rolled back says.
var errOver = pgerror.New(pgerror.NoTransaction, "transaction is over")

// Err returns why the transaction can't go on, or nil.
func (t *Txn) Err() error {
	if e := t.cause.Load(); e != nil {
		return e
	}
	return nil
}

// SetReadOnly makes the transaction refuse writes, or not.
func (t *Txn) SetReadOnly(on bool) { t.readOnly = on }

// ReadOnly reports whether the transaction refuses writes.
func (t *Txn) ReadOnly() bool { return t.readOnly }

// end makes the transaction refuse all that follows, and gives up its locks.
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

// AssignXID gives the transaction an id if it has none.
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

// Insert adds a row, whose lock the transaction holds.
func (t *Txn) Insert(table sql.TableName, id RowID, fields []Field) (*Row, error) {
	row := &Row{ID: id, Fields: fields, order: uncommitted + uint64(len(t.changes))}
	return row, t.change(Change{Operation: OperationInsert, Table: table, ID: id, Columns: fields}, row)
}

// Update changes columns of a row, whose lock the transaction holds.
func (t *Txn) Update(table sql.TableName, row *Row, fields []Field) (*Row, error) {
	next := row.with(fields)
	return next, t.change(Change{Operation: OperationUpdate, Table: table, ID: row.ID, Columns: fields}, next)
}

// Delete removes a row, whose lock the transaction holds.
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

// Save marks a point to which RollbackTo returns.
func (t *Txn) Save(name string) {
	t.savepoints = append(t.savepoints, savepoint{name: name, changes: len(t.changes), rows: maps.Clone(t.rows)})
}

// RollbackTo undoes what came after a savepoint. Locks stay held.
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

// Release forgets a savepoint and those after it.
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

// Rollback undoes the transaction. It may follow a Commit that failed.
func (t *Txn) Rollback() { t.Abort(errOver) }

// Abort rolls the transaction back from another goroutine. What its owner
// tries from then on fails with the cause. It does nothing once a commit has
// taken place.
func (t *Txn) Abort(cause *pgerror.Error) {
	t.db.settle(t, StatusAborted)
	t.end(cause)
}

// Commit makes the transaction's changes visible to all and adds them to the
// log. The guard is asked whether it may, at a time when neither the role nor
// the claim can change.
func (t *Txn) Commit(guard Guard) error {
	err := t.Err()
	if err == nil && t.Wrote() {
		err = t.db.commit(t, guard)
	}
	if err != nil {
		t.Rollback()
		var own *pgerror.Error
		if errors.As(err, &own) {
			return err
		}
		return pgerror.New(pgerror.Internal, "%v", err)
	}
	t.db.settle(t, StatusCommitted)
	t.end(errOver)
	return nil
}
