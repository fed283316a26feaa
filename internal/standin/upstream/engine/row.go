// Package engine is the storage engine of one member of a database group:
// tables, transactions, row locks and the log of committed transactions.
// Readers load an immutable version of all tables; a commit publishes the next
// version.
package engine

import (
	"hash/maphash"
	"maps"
	"slices"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// RowID is the key of a row within its table.
type RowID string

// Field is the value of one column of a row.
type Field struct {
	Name sql.ColumnName `json:"name"`
	// Value is nil for NULL.
	Value *string `json:"value"`
}

// Row is one row. It is immutable once it is shared.
type Row struct {
	ID     RowID
	Fields []Field
	// order is the row's place in the order of insertion among all rows.
	order uint64
}

// Value returns the value of a column, or nil for NULL.
func (r *Row) Value(name sql.ColumnName) *string {
	if name == sql.ColumnID {
		id := string(r.ID)
		return &id
	}
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return nil
}

// with returns a copy of the row with some columns changed.
func (r *Row) with(fields []Field) *Row {
	next := &Row{ID: r.ID, order: r.order, Fields: slices.Clone(r.Fields)}
	for _, f := range fields {
		i := slices.IndexFunc(next.Fields, func(have Field) bool { return have.Name == f.Name })
		if i < 0 {
			next.Fields = append(next.Fields, f)
			continue
		}
		next.Fields[i] = f
	}
	return next
}

// bucketCount is the number of buckets of a table. A commit copies only the
// buckets that it changes.
const bucketCount = 256

// hashSeed is the seed of the hash that assigns rows to buckets.
var hashSeed = maphash.MakeSeed()

func bucketOf(id RowID) int {
	return int(maphash.String(hashSeed, string(id)) % bucketCount)
}

// Table is one version of a table. It is immutable once it is shared.
type Table struct {
	// Columns are the columns without the id, in the order of their first
	// use.
	Columns []sql.ColumnName
	Count   int
	buckets [bucketCount]map[RowID]*Row
}

// Row returns a row, or nil.
func (t *Table) Row(id RowID) *Row {
	if t == nil {
		return nil
	}
	return t.buckets[bucketOf(id)][id]
}

// Rows returns all rows in no particular order.
func (t *Table) Rows() []*Row {
	if t == nil {
		return nil
	}
	rows := make([]*Row, 0, t.Count)
	for _, b := range t.buckets {
		for _, r := range b {
			rows = append(rows, r)
		}
	}
	return rows
}

// Version is one version of all tables. It is immutable once it is shared.
type Version struct {
	// Mark is the last log entry that the version includes.
	Mark   chervilladder.Mark
	tables map[sql.TableName]*Table
	// insertions is the number of rows ever inserted.
	insertions uint64
}

// Table returns a table, or nil if it has never been written to.
func (v *Version) Table(name sql.TableName) *Table { return v.tables[name] }

// Columns returns the columns of a table, the id first. A table that has never
// been written to has the id only.
func (v *Version) Columns(name sql.TableName) []sql.ColumnName {
	columns := []sql.ColumnName{sql.ColumnID}
	if t := v.tables[name]; t != nil {
		columns = append(columns, t.Columns...)
	}
	return columns
}

// builder builds the next version from a shared one by copy on write.
type builder struct {
	version *Version
	// copied tells the tables and buckets that are copies, and so may be
	// changed.
	copied map[sql.TableName]*[bucketCount]bool
}

func newBuilder(from *Version) *builder {
	next := *from
	next.tables = maps.Clone(from.tables)
	if next.tables == nil {
		next.tables = map[sql.TableName]*Table{}
	}
	return &builder{version: &next, copied: map[sql.TableName]*[bucketCount]bool{}}
}

// table returns a table for changing it, copied on first use.
func (b *builder) table(name sql.TableName) *Table {
	if b.copied[name] == nil {
		next := &Table{}
		if t := b.version.tables[name]; t != nil {
			*next = *t
			next.Columns = slices.Clone(t.Columns)
		}
		b.version.tables[name] = next
		b.copied[name] = &[bucketCount]bool{}
	}
	return b.version.tables[name]
}

// bucket returns the bucket of a row for changing it, copied on first use.
func (b *builder) bucket(name sql.TableName, id RowID) map[RowID]*Row {
	t := b.table(name)
	i := bucketOf(id)
	if !b.copied[name][i] {
		t.buckets[i] = maps.Clone(t.buckets[i])
		if t.buckets[i] == nil {
			t.buckets[i] = map[RowID]*Row{}
		}
		b.copied[name][i] = true
	}
	return t.buckets[i]
}

func (b *builder) apply(c Change) {
	bucket := b.bucket(c.Table, c.ID)
	t := b.table(c.Table)
	old := bucket[c.ID]
	switch {
	case c.Operation == OperationDelete && old != nil:
		delete(bucket, c.ID)
		t.Count--
	case c.Operation == OperationDelete:
	case old != nil:
		bucket[c.ID] = old.with(c.Columns)
	default:
		b.version.insertions++
		bucket[c.ID] = &Row{ID: c.ID, Fields: c.Columns, order: b.version.insertions}
		t.Count++
	}
	for _, f := range c.Columns {
		if !slices.Contains(t.Columns, f.Name) {
			t.Columns = append(t.Columns, f.Name)
		}
	}
}
