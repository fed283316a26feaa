package query

import (
	"context"
	"slices"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

func runSelect(ctx context.Context, v *Env, s *sql.Select) (Result, error) {
	limit, err := v.limit(ctx, s.Limit)
	if err != nil {
		return Result{}, err
	}
	if s.From == nil || s.From.Function != nil {
		rows, err := v.selectFunction(ctx, s)
		return Result{Rows: limitRows(rows, limit)}, err
	}
	found, err := v.find(ctx, s.From.Table, s.Where)
	if err != nil {
		return Result{}, err
	}
	if hasCount(s.Items) {
		rows, err := v.countRows(ctx, s, len(found))
		return Result{Rows: limitRows(rows, limit)}, err
	}
	keys, err := orderKeys(s)
	if err != nil {
		return Result{}, err
	}
	if err := v.order(ctx, found, keys); err != nil {
		return Result{}, err
	}
	if limit >= 0 && int64(len(found)) > limit {
		found = found[:limit]
	}
	if s.ForUpdate {
		if found, err = v.lockRows(ctx, s, found); err != nil {
			return Result{}, err
		}
	}
	return Result{Rows: v.project(s.Items, s.From.Table, found)}, nil
}

// limit evaluates LIMIT. It returns -1 for no limit.
func (v *Env) limit(ctx context.Context, e sql.Expr) (int64, error) {
	if e == nil {
		return -1, nil
	}
	value, err := v.eval(ctx, e, scope{})
	if err != nil {
		return 0, err
	}
	if value, err = convert(value, sql.TypeInt8); err != nil || value.Null {
		return -1, err
	}
	n, err := value.Int64()
	if err != nil || n < 0 {
		return 0, pgerror.New(pgerror.InvalidParameter, "LIMIT must not be negative")
	}
	return n, nil
}

func limitRows(rows Rows, limit int64) Rows {
	if limit < 0 {
		return rows
	}
	return func(ctx context.Context) ([]sql.Value, error) {
		if limit == 0 {
			return nil, nil
		}
		limit--
		return rows(ctx)
	}
}

// find returns the rows of a table that match a condition, in the order of
// their insertion.
func (v *Env) find(ctx context.Context, table sql.TableName, where sql.Expr) ([]*engine.Row, error) {
	if err := v.Txn.Err(); err != nil {
		return nil, err
	}
	candidates, err := v.candidates(ctx, table, where)
	if err != nil {
		return nil, err
	}
	var found []*engine.Row
	for _, r := range candidates {
		ok, err := v.matches(ctx, where, r)
		if err != nil {
			return nil, err
		}
		if ok {
			found = append(found, r)
		}
	}
	return found, nil
}

// candidates returns the row that a condition selects by its id, or all rows of
// the table when it doesn't.
func (v *Env) candidates(ctx context.Context, table sql.TableName, where sql.Expr) ([]*engine.Row, error) {
	key := keyOf(where)
	if key == nil {
		return v.Txn.Rows(table), nil
	}
	id, err := v.eval(ctx, key, scope{})
	if err != nil || id.Null {
		return nil, err
	}
	if r := v.Txn.Row(table, engine.RowID(id.Text)); r != nil {
		return []*engine.Row{r}, nil
	}
	return nil, nil
}

// keyOf returns the constant to which a condition requires the id to be equal,
// or nil.
func keyOf(where sql.Expr) sql.Expr {
	b, ok := where.(*sql.Binary)
	if !ok {
		return nil
	}
	switch b.Op {
	case sql.OpAnd:
		if key := keyOf(b.Left); key != nil {
			return key
		}
		return keyOf(b.Right)
	case sql.OpEqual:
		if c, ok := b.Left.(*sql.Column); ok && c.Name == sql.ColumnID && constantText(b.Right) {
			return b.Right
		}
		if c, ok := b.Right.(*sql.Column); ok && c.Name == sql.ColumnID && constantText(b.Left) {
			return b.Left
		}
	}
	return nil
}

// constantText reports whether an expression has the same text for every row.
func constantText(e sql.Expr) bool {
	if c, ok := e.(*sql.Cast); ok {
		return c.Type.Size() < 0 && constantText(c.Expr)
	}
	if l, ok := e.(*sql.Literal); ok {
		return l.Value.Type == sql.TypeText
	}
	_, ok := e.(*sql.Param)
	return ok
}

func (v *Env) matches(ctx context.Context, where sql.Expr, r *engine.Row) (bool, error) {
	if where == nil {
		return true, nil
	}
	value, err := v.eval(ctx, where, scope{row: r})
	return value.True(), err
}

// orderKeys returns the keys of ORDER BY. A name or a number that refers to an
// entry of the select list is replaced by that entry's expression.
func orderKeys(s *sql.Select) ([]sql.Order, error) {
	keys := slices.Clone(s.OrderBy)
	for i, k := range keys {
		switch e := k.Expr.(type) {
		case *sql.Column:
			at := slices.IndexFunc(s.Items, func(i sql.Item) bool { return !i.Star && i.Name == e.Name })
			if at >= 0 {
				keys[i].Expr = s.Items[at].Expr
			}
		case *sql.Literal:
			n, err := e.Value.Int64()
			if err != nil || n < 1 || n > int64(len(s.Items)) || s.Items[n-1].Star {
				return nil, pgerror.New("42P10", "ORDER BY %s is not an entry of the select list", e.Value.Text)
			}
			keys[i].Expr = s.Items[n-1].Expr
		}
	}
	return keys, nil
}

// order sorts rows by keys.
func (v *Env) order(ctx context.Context, rows []*engine.Row, keys []sql.Order) error {
	if len(keys) == 0 {
		return nil
	}
	var failed error
	value := func(e sql.Expr, r *engine.Row) sql.Value {
		x, err := v.eval(ctx, e, scope{row: r})
		if err != nil {
			failed = err
		}
		return x
	}
	slices.SortStableFunc(rows, func(a, b *engine.Row) int {
		for _, k := range keys {
			c := compareNulls(value(k.Expr, a), value(k.Expr, b))
			if k.Descending {
				c = -c
			}
			if c != 0 {
				return c
			}
		}
		return 0
	})
	return failed
}

// compareNulls compares like compare, and sorts NULL last.
func compareNulls(a, b sql.Value) int {
	switch {
	case a.Null && b.Null:
		return 0
	case a.Null:
		return 1
	case b.Null:
		return -1
	default:
		return compare(a, b)
	}
}

// lockRows locks rows and returns their locked versions, without those that no
// longer match the condition.
func (v *Env) lockRows(ctx context.Context, s *sql.Select, rows []*engine.Row) ([]*engine.Row, error) {
	if err := v.Txn.Writable("SELECT FOR UPDATE"); err != nil {
		return nil, err
	}
	var locked []*engine.Row
	for _, r := range rows {
		now, err := v.lockRow(ctx, s.From.Table, r.ID, s.Where)
		if err != nil {
			return nil, err
		}
		if now != nil {
			locked = append(locked, now)
		}
	}
	return locked, nil
}

// lockRow locks a row and returns its locked version, or nil if it no longer
// matches the condition.
func (v *Env) lockRow(ctx context.Context, table sql.TableName, id engine.RowID, where sql.Expr) (*engine.Row, error) {
	if err := v.Txn.Lock(ctx, table, id); err != nil {
		return nil, err
	}
	now := v.Txn.Row(table, id)
	if now == nil {
		return nil, nil
	}
	ok, err := v.matches(ctx, where, now)
	if err != nil || !ok {
		return nil, err
	}
	return now, nil
}

// project evaluates a select list for each of the rows.
func (v *Env) project(items []sql.Item, table sql.TableName, rows []*engine.Row) Rows {
	star := v.Txn.Columns(table)
	return func(ctx context.Context) ([]sql.Value, error) {
		if len(rows) == 0 {
			return nil, nil
		}
		r := rows[0]
		rows = rows[1:]
		return v.projectRow(ctx, items, star, r)
	}
}

func (v *Env) projectRow(ctx context.Context, items []sql.Item, star []sql.ColumnName, r *engine.Row) ([]sql.Value, error) {
	var values []sql.Value
	for _, i := range items {
		if i.Star {
			for _, name := range star {
				values = append(values, text(r.Value(name)))
			}
			continue
		}
		value, err := v.eval(ctx, i.Expr, scope{row: r})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// hasCount reports whether a select list counts rows.
func hasCount(items []sql.Item) bool {
	return slices.ContainsFunc(items, func(i sql.Item) bool { return containsCount(i.Expr) })
}

func containsCount(e sql.Expr) bool {
	found := false
	sql.Walk(e, func(e sql.Expr) {
		c, ok := e.(*sql.Call)
		found = found || ok && c.Name == countFunction
	})
	return found
}

// countRows returns the only row of a select list that counts rows, where n is
// the number of rows.
func (v *Env) countRows(ctx context.Context, s *sql.Select, n int) (Rows, error) {
	var values []sql.Value
	for _, i := range s.Items {
		if i.Star {
			return nil, pgerror.New("42803", "columns and count(*) must not be selected together")
		}
		value, err := v.eval(ctx, withCount(i.Expr, n), scope{})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return FixedRows([][]sql.Value{values}), nil
}

// withCount replaces count(*) in an expression by the number of rows.
func withCount(e sql.Expr, n int) sql.Expr {
	switch e := e.(type) {
	case *sql.Call:
		if e.Name == countFunction && e.Star {
			return &sql.Literal{Value: sql.Int(int64(n))}
		}
	case *sql.Cast:
		return &sql.Cast{Expr: withCount(e.Expr, n), Type: e.Type}
	case *sql.Binary:
		return &sql.Binary{Op: e.Op, Left: withCount(e.Left, n), Right: withCount(e.Right, n)}
	}
	return e
}
