// Package query executes statements on the tables of a member. It is
// independent of connections and of the protocol's messages.
package query

import (
	"context"
	"slices"

	"github.com/chervilladder/chervilladder/internal/standin"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// Env is the environment in which a statement is executed.
type Env struct {
	Txn             *engine.Txn
	DB              *engine.DB
	Params          []sql.Value
	FunctionSession standin.FunctionSession
}

// Column describes a column of a result.
type Column struct {
	Name sql.ColumnName
	Type sql.Type
}

// Rows returns the next row of a result at each call, and nil after the last.
type Rows func(context.Context) ([]sql.Value, error)

// Result is the result of a statement. Rows is nil for a statement that returns
// no rows; Affected is then the number of rows that it has changed.
type Result struct {
	Rows     Rows
	Affected int
}

// TableColumns is a function that returns the columns of a table, the id first.
type TableColumns func(sql.TableName) []sql.ColumnName

// Run executes a statement that reads or writes tables.
func Run(ctx context.Context, env *Env, s sql.Statement) (Result, error) {
	switch s := s.(type) {
	case *sql.Select:
		return runSelect(ctx, env, s)
	case *sql.Insert:
		return runInsert(ctx, env, s)
	case *sql.Update:
		return runUpdate(ctx, env, s)
	case *sql.Delete:
		return runDelete(ctx, env, s)
	default:
		return Result{}, pgerror.New(pgerror.FeatureUnsupported, "%s is not supported as a query", s.Class())
	}
}

// Eval evaluates an expression that refers to no column.
func (env *Env) Eval(ctx context.Context, e sql.Expr) (sql.Value, error) {
	return env.eval(ctx, e, scope{})
}

// FixedRows returns a Rows that returns the given rows.
func FixedRows(rows [][]sql.Value) Rows {
	return func(context.Context) ([]sql.Value, error) {
		if len(rows) == 0 {
			return nil, nil
		}
		next := rows[0]
		rows = rows[1:]
		return next, nil
	}
}

// Columns returns the columns of a statement's result, or nil when it returns
// no rows. Params are the types of the parameters.
func Columns(s sql.Statement, params []sql.Type, tables TableColumns) []Column {
	switch s := s.(type) {
	case *sql.Select:
		if s.From != nil && s.From.Function != nil {
			return functionColumns(s, params)
		}
		if s.From != nil {
			return itemColumns(s.Items, params, tables, s.From.Table)
		}
		return itemColumns(s.Items, params, tables, "")
	case *sql.Insert:
		return itemColumns(s.Returning, params, tables.with(s.Columns), s.Table)
	case *sql.Update:
		return itemColumns(s.Returning, params, tables, s.Table)
	case *sql.Delete:
		return itemColumns(s.Returning, params, tables, s.Table)
	default:
		return nil
	}
}

func itemColumns(items []sql.Item, params []sql.Type, tables TableColumns, table sql.TableName) []Column {
	var columns []Column
	for _, i := range items {
		if !i.Star {
			columns = append(columns, Column{Name: i.Name, Type: typeOf(i.Expr, params)})
			continue
		}
		for _, name := range tables(table) {
			columns = append(columns, Column{Name: name, Type: sql.TypeText})
		}
	}
	return columns
}

// with returns a TableColumns that adds columns to every table.
func (t TableColumns) with(added []sql.ColumnName) TableColumns {
	return func(table sql.TableName) []sql.ColumnName {
		columns := t(table)
		for _, name := range added {
			if !slices.Contains(columns, name) {
				columns = append(columns, name)
			}
		}
		return columns
	}
}

// functionColumns returns the result's columns of a SELECT from a function.
func functionColumns(s *sql.Select, params []sql.Type) []Column {
	source := Column{Name: sourceName(s.From), Type: typeOf(s.From.Function, params)}
	var columns []Column
	for _, i := range s.Items {
		if i.Star {
			columns = append(columns, source)
			continue
		}
		t := typeOf(i.Expr, params)
		if c, ok := i.Expr.(*sql.Column); ok && c.Name == source.Name {
			t = source.Type
		}
		columns = append(columns, Column{Name: i.Name, Type: t})
	}
	return columns
}

// sourceName returns the name of the only column of a function's rows.
func sourceName(s *sql.Source) sql.ColumnName {
	if s.Alias != "" {
		return s.Alias
	}
	return sql.ColumnName(s.Function.Name)
}
