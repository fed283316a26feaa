package query

import (
	"context"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// changedRows holds the rows that a statement has changed.
type changedRows struct {
	rows []*engine.Row
}

func (v *Env) result(w changedRows, returning []sql.Item, table sql.TableName) (Result, error) {
	r := Result{Affected: len(w.rows)}
	if returning != nil {
		r.Rows = v.project(returning, table, w.rows)
	}
	return r, nil
}

func runInsert(ctx context.Context, v *Env, s *sql.Insert) (Result, error) {
	if err := v.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	var w changedRows
	for _, exprs := range s.Rows {
		r, err := v.insertRow(ctx, s, exprs)
		if err != nil {
			return Result{}, err
		}
		if r != nil {
			w.rows = append(w.rows, r)
		}
	}
	return v.result(w, s.Returning, s.Table)
}

// insertRow adds a row, or treats a conflict with an existing id. It returns
// nil for ON CONFLICT DO NOTHING.
func (v *Env) insertRow(ctx context.Context, s *sql.Insert, exprs []sql.Expr) (*engine.Row, error) {
	proposed, err := v.newRow(ctx, s, exprs)
	if err != nil {
		return nil, err
	}
	if err := v.Txn.Lock(ctx, s.Table, proposed.ID); err != nil {
		return nil, err
	}
	old := v.Txn.Row(s.Table, proposed.ID)
	switch {
	case old == nil:
		return v.Txn.Insert(s.Table, proposed.ID, proposed.Fields)
	case s.Conflict == sql.ConflictDoesNothing:
		return nil, nil
	case s.Conflict == sql.ConflictUpdates:
		return v.assign(ctx, s.Table, s.Set, scope{row: old, excluded: proposed})
	default:
		e := pgerror.New(pgerror.UniqueViolation, "duplicate key value violates unique constraint \"%s_pkey\"", s.Table)
		e.Detail = "Key (id)=(" + string(proposed.ID) + ") already exists."
		return nil, e
	}
}

// newRow evaluates the row that an INSERT proposes.
func (v *Env) newRow(ctx context.Context, s *sql.Insert, exprs []sql.Expr) (*engine.Row, error) {
	r := &engine.Row{}
	hasID := false
	for i, name := range s.Columns {
		value, err := v.eval(ctx, exprs[i], scope{})
		if err != nil {
			return nil, err
		}
		if name == sql.ColumnID {
			r.ID = engine.RowID(value.Text)
			hasID = !value.Null
			continue
		}
		r.Fields = append(r.Fields, field(name, value))
	}
	if !hasID {
		return nil, pgerror.New(pgerror.NotNull, "null value in column \"id\" of relation %q violates not-null constraint", s.Table)
	}
	return r, nil
}

func field(name sql.ColumnName, value sql.Value) engine.Field {
	if value.Null {
		return engine.Field{Name: name}
	}
	return engine.Field{Name: name, Value: &value.Text}
}

// assign sets columns of a locked row to new values.
func (v *Env) assign(ctx context.Context, table sql.TableName, set []sql.Assignment, s scope) (*engine.Row, error) {
	fields := make([]engine.Field, 0, len(set))
	for _, a := range set {
		value, err := v.eval(ctx, a.Value, s)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field(a.Column, value))
	}
	return v.Txn.Update(table, s.row, fields)
}

func runUpdate(ctx context.Context, v *Env, s *sql.Update) (Result, error) {
	if err := v.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	w, err := v.changeRows(ctx, s.Table, s.Where, func(now *engine.Row) (*engine.Row, error) {
		return v.assign(ctx, s.Table, s.Set, scope{row: now})
	})
	if err != nil {
		return Result{}, err
	}
	return v.result(w, s.Returning, s.Table)
}

func runDelete(ctx context.Context, v *Env, s *sql.Delete) (Result, error) {
	if err := v.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	w, err := v.changeRows(ctx, s.Table, s.Where, func(now *engine.Row) (*engine.Row, error) {
		return now, v.Txn.Delete(s.Table, now.ID)
	})
	if err != nil {
		return Result{}, err
	}
	return v.result(w, s.Returning, s.Table)
}

// changeRows locks the rows that match a condition, and changes those that
// still match it once they are locked.
func (v *Env) changeRows(ctx context.Context, table sql.TableName, where sql.Expr, change func(*engine.Row) (*engine.Row, error)) (changedRows, error) {
	var w changedRows
	found, err := v.find(ctx, table, where)
	if err != nil {
		return w, err
	}
	for _, r := range found {
		now, err := v.lockRow(ctx, table, r.ID, where)
		if err != nil {
			return w, err
		}
		if now == nil {
			continue
		}
		row, err := change(now)
		if err != nil {
			return w, err
		}
		w.rows = append(w.rows, row)
	}
	return w, nil
}
