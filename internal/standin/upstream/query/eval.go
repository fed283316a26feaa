package query

import (
	"cmp"
	"context"
	"errors"
	"math"
	"strconv"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// scope holds the rows whose columns an expression may refer to.
type scope struct {
	row      *engine.Row
	excluded *engine.Row
	// name and value are the only column of a function's row.
	name  sql.ColumnName
	value sql.Value
}

// eval returns the value of an expression.
func (env *Env) eval(ctx context.Context, e sql.Expr, s scope) (sql.Value, error) {
	switch e := e.(type) {
	case *sql.Literal:
		return e.Value, nil
	case *sql.Param:
		return env.param(e)
	case *sql.Column:
		return s.column(e.Name)
	case *sql.Excluded:
		if s.excluded == nil {
			return sql.Value{}, pgerror.New(pgerror.Syntax, "excluded is allowed in ON CONFLICT DO UPDATE only")
		}
		return text(s.excluded.Value(e.Name)), nil
	case *sql.Cast:
		inner, err := env.eval(ctx, e.Expr, s)
		if err != nil {
			return sql.Value{}, err
		}
		return convert(inner, e.Type)
	case *sql.Call:
		return env.call(ctx, e, s)
	case *sql.Unary:
		return env.unary(ctx, e, s)
	case *sql.Binary:
		return env.binary(ctx, e, s)
	case *sql.In:
		return env.in(ctx, e, s)
	default:
		return sql.Value{}, pgerror.New(pgerror.FeatureUnsupported, "expression is not supported")
	}
}

func (env *Env) param(p *sql.Param) (sql.Value, error) {
	if p.Number > len(env.Params) {
		return sql.Value{}, pgerror.New(pgerror.ProtocolViolation, "there is no parameter $%d", p.Number)
	}
	return env.Params[p.Number-1], nil
}

// column returns the value of a column of the current row. A column that the
// row doesn't have is NULL, because a table gets a column when a row with it is
// first written.
func (s scope) column(name sql.ColumnName) (sql.Value, error) {
	if s.row != nil {
		return text(s.row.Value(name)), nil
	}
	if s.name != "" && s.name == name {
		return s.value, nil
	}
	return sql.Value{}, pgerror.New("42703", "column %q does not exist", name)
}

func text(s *string) sql.Value {
	if s == nil {
		return sql.Null(sql.TypeText)
	}
	return sql.Text(*s)
}

// convert converts a value to a type. For an invalid value it returns an error
// with PostgreSQL's code.
func convert(v sql.Value, t sql.Type) (sql.Value, error) {
	out, err := v.Convert(t)
	var bad *sql.ValueError
	if errors.As(err, &bad) {
		return out, pgerror.New(pgerror.InvalidValue, "%s", err.Error())
	}
	return out, err
}

func (env *Env) unary(ctx context.Context, u *sql.Unary, s scope) (sql.Value, error) {
	inner, err := env.eval(ctx, u.Expr, s)
	if err != nil {
		return inner, err
	}
	switch u.Op {
	case sql.OpIsNull:
		return sql.Bool(inner.Null), nil
	case sql.OpNotNull:
		return sql.Bool(!inner.Null), nil
	case sql.OpNot:
		b, err := convert(inner, sql.TypeBool)
		if err != nil || b.Null {
			return b, err
		}
		return sql.Bool(!b.True()), nil
	default:
		return arithmetic(sql.OpSubtract, sql.Value{Type: inner.Type, Text: "0"}, inner)
	}
}

func (env *Env) binary(ctx context.Context, b *sql.Binary, s scope) (sql.Value, error) {
	left, err := env.eval(ctx, b.Left, s)
	if err != nil {
		return left, err
	}
	right, err := env.eval(ctx, b.Right, s)
	if err != nil {
		return right, err
	}
	switch b.Op {
	case sql.OpAnd, sql.OpOr:
		return logic(b.Op, left, right)
	case sql.OpConcat:
		if left.Null || right.Null {
			return sql.Null(sql.TypeText), nil
		}
		return sql.Text(left.Text + right.Text), nil
	case sql.OpAdd, sql.OpSubtract, sql.OpMultiply, sql.OpDivide, sql.OpModulo:
		return arithmetic(b.Op, left, right)
	default:
		return comparison(b.Op, left, right), nil
	}
}

// logic applies AND or OR in three-valued logic, where NULL is unknown.
func logic(op sql.Operator, a, b sql.Value) (sql.Value, error) {
	left, err := convert(a, sql.TypeBool)
	if err != nil {
		return left, err
	}
	right, err := convert(b, sql.TypeBool)
	if err != nil {
		return right, err
	}
	// deciding is the operand value that decides the result by itself.
	deciding := op == sql.OpOr
	for _, v := range []sql.Value{left, right} {
		if !v.Null && v.True() == deciding {
			return sql.Bool(deciding), nil
		}
	}
	if left.Null || right.Null {
		return sql.Null(sql.TypeBool), nil
	}
	return sql.Bool(!deciding), nil
}

func comparison(op sql.Operator, a, b sql.Value) sql.Value {
	if a.Null || b.Null {
		return sql.Null(sql.TypeBool)
	}
	c := compare(a, b)
	switch op {
	case sql.OpEqual:
		return sql.Bool(c == 0)
	case sql.OpUnequal:
		return sql.Bool(c != 0)
	case sql.OpLess:
		return sql.Bool(c < 0)
	case sql.OpLessEqual:
		return sql.Bool(c <= 0)
	case sql.OpMore:
		return sql.Bool(c > 0)
	default:
		return sql.Bool(c >= 0)
	}
}

// compare compares two values: as numbers when one of them has a numeric type
// and both can be parsed as numbers, and as texts otherwise.
func compare(a, b sql.Value) int {
	if numeric(a.Type) || numeric(b.Type) {
		x, errX := a.Float64()
		y, errY := b.Float64()
		if errX == nil && errY == nil {
			return cmp.Compare(x, y)
		}
	}
	return cmp.Compare(a.Text, b.Text)
}

func numeric(t sql.Type) bool { return t.Integer() || t == sql.TypeFloat8 }

func (env *Env) in(ctx context.Context, in *sql.In, s scope) (sql.Value, error) {
	left, err := env.eval(ctx, in.Expr, s)
	if err != nil {
		return left, err
	}
	unknown := left.Null
	for _, e := range in.List {
		right, err := env.eval(ctx, e, s)
		if err != nil {
			return right, err
		}
		unknown = unknown || right.Null
		if !left.Null && !right.Null && compare(left, right) == 0 {
			return sql.Bool(!in.Negate), nil
		}
	}
	if unknown {
		return sql.Null(sql.TypeBool), nil
	}
	return sql.Bool(in.Negate), nil
}

// arithmetic applies an operator to two numbers. A text is converted to a
// float8 beside a float8, and to an integer otherwise.
func arithmetic(op sql.Operator, a, b sql.Value) (sql.Value, error) {
	t := arithmeticType(a.Type, b.Type)
	if a.Null || b.Null {
		return sql.Null(t), nil
	}
	if t == sql.TypeFloat8 {
		return floatArithmetic(op, a, b)
	}
	x, err := convert(a, sql.TypeInt8)
	if err != nil {
		return x, err
	}
	y, err := convert(b, sql.TypeInt8)
	if err != nil {
		return y, err
	}
	m, _ := x.Int64()
	n, _ := y.Int64()
	if n == 0 && (op == sql.OpDivide || op == sql.OpModulo) {
		return sql.Value{}, pgerror.New(pgerror.DivisionByZero, "division by zero")
	}
	return convert(sql.Int(integerArithmetic(op, m, n)), t)
}

func integerArithmetic(op sql.Operator, m, n int64) int64 {
	switch op {
	case sql.OpAdd:
		return m + n
	case sql.OpSubtract:
		return m - n
	case sql.OpMultiply:
		return m * n
	case sql.OpDivide:
		return m / n
	default:
		return m % n
	}
}

func floatArithmetic(op sql.Operator, a, b sql.Value) (sql.Value, error) {
	x, errX := a.Float64()
	y, errY := b.Float64()
	if err := errors.Join(errX, errY); err != nil {
		return sql.Value{}, pgerror.New(pgerror.InvalidValue, "%v", err)
	}
	if y == 0 && (op == sql.OpDivide || op == sql.OpModulo) {
		return sql.Value{}, pgerror.New(pgerror.DivisionByZero, "division by zero")
	}
	f := math.Mod(x, y)
	switch op {
	case sql.OpAdd:
		f = x + y
	case sql.OpSubtract:
		f = x - y
	case sql.OpMultiply:
		f = x * y
	case sql.OpDivide:
		f = x / y
	}
	return sql.Value{Type: sql.TypeFloat8, Text: strconv.FormatFloat(f, 'g', -1, 64)}, nil
}
