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

func (env *Env) result(changed changedRows, returning []sql.Item, table sql.TableName) (Result, error) {
	r := Result{Affected: len(changed.rows)}
	if returning != nil {
		r.Rows = env.project(returning, table, changed.rows)
	}
	return r, nil
}

func runInsert(ctx context.Context, env *Env, s *sql.Insert) (Result, error) {
	if err := env.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	var changed changedRows
	for _, exprs := range s.Rows {
		r, err := env.insertRow(ctx, s, exprs)
		if err != nil {
			return Result{}, err
		}
		if r != nil {
			changed.rows = append(changed.rows, r)
		}
	}
	return env.result(changed, s.Returning, s.Table)
}

// insertRow adds a row, or handles a conflict with an existing id. It returns
// nil when ON CONFLICT DO NOTHING skips the row.
func (env *Env) insertRow(ctx context.Context, s *sql.Insert, exprs []sql.Expr) (*engine.Row, error) {
	proposed, err := env.newRow(ctx, s, exprs)
	if err != nil {
		return nil, err
	}
	if err := env.Txn.Lock(ctx, s.Table, proposed.ID); err != nil {
		return nil, err
	}
	old := env.Txn.Row(s.Table, proposed.ID)
	switch {
	case old == nil:
		return env.Txn.Insert(s.Table, proposed.ID, proposed.Fields)
	case s.Conflict == sql.ConflictDoesNothing:
		return nil, nil
	case s.Conflict == sql.ConflictUpdates:
		return env.assign(ctx, s.Table, s.Set, scope{row: old, excluded: proposed})
	default:
		e := pgerror.New(pgerror.UniqueViolation, "duplicate key value violates unique constraint \"%s_pkey\"", s.Table)
		e.Detail = "Key (id)=(" + string(proposed.ID) + ") already exists."
		return nil, e
	}
}

// newRow evaluates the row that an INSERT proposes.
func (env *Env) newRow(ctx context.Context, s *sql.Insert, exprs []sql.Expr) (*engine.Row, error) {
	r := &engine.Row{}
	hasID := false
	for i, name := range s.Columns {
		value, err := env.eval(ctx, exprs[i], scope{})
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
func (env *Env) assign(ctx context.Context, table sql.TableName, set []sql.Assignment, s scope) (*engine.Row, error) {
	fields := make([]engine.Field, 0, len(set))
	for _, a := range set {
		value, err := env.eval(ctx, a.Value, s)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field(a.Column, value))
	}
	return env.Txn.Update(table, s.row, fields)
}

func runUpdate(ctx context.Context, env *Env, s *sql.Update) (Result, error) {
	if err := env.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	changed, err := env.changeRows(ctx, s.Table, s.Where, func(current *engine.Row) (*engine.Row, error) {
		return env.assign(ctx, s.Table, s.Set, scope{row: current})
	})
	if err != nil {
		return Result{}, err
	}
	return env.result(changed, s.Returning, s.Table)
}

func runDelete(ctx context.Context, env *Env, s *sql.Delete) (Result, error) {
	if err := env.Txn.CheckWritable(s.Class()); err != nil {
		return Result{}, err
	}
	changed, err := env.changeRows(ctx, s.Table, s.Where, func(current *engine.Row) (*engine.Row, error) {
		return current, env.Txn.Delete(s.Table, current.ID)
	})
	if err != nil {
		return Result{}, err
	}
	return env.result(changed, s.Returning, s.Table)
}

// changeRows locks the rows that match a condition, and changes those that
// still match it once they are locked.
func (env *Env) changeRows(ctx context.Context, table sql.TableName, where sql.Expr, change func(*engine.Row) (*engine.Row, error)) (changedRows, error) {
	var changed changedRows
	found, err := env.find(ctx, table, where)
	if err != nil {
		return changed, err
	}
	for _, r := range found {
		current, err := env.lockRow(ctx, table, r.ID, where)
		if err != nil {
			return changed, err
		}
		if current == nil {
			continue
		}
		row, err := change(current)
		if err != nil {
			return changed, err
		}
		changed.rows = append(changed.rows, row)
	}
	return changed, nil
}
