package query

import (
	"context"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// series is the remaining range of the numbers of generate_series, both ends
// included.
type series struct{ next, last int64 }

// selectWithoutTable runs a SELECT from a function or without FROM. It
// generates the rows one at a time, so that a large result needs no memory. A
// SELECT without FROM is run as a series of one number, unless it calls
// generate_series.
func (env *Env) selectWithoutTable(ctx context.Context, s *sql.Select) (Rows, error) {
	if len(s.OrderBy) > 0 {
		return nil, pgerror.New(pgerror.FeatureUnsupported, "ORDER BY is supported for tables only")
	}
	call := seriesCall(s)
	numbers := series{next: 1, last: 1}
	if call != nil {
		var err error
		if numbers, err = env.series(ctx, call); err != nil {
			return nil, err
		}
	} else if s.From != nil && s.From.Function.Name != seriesFunction {
		return env.selectValue(s), nil
	}
	if hasCount(s.Items) {
		n, err := env.countSeries(ctx, s, numbers)
		if err != nil {
			return nil, err
		}
		return env.countRows(ctx, s, n)
	}
	return env.seriesRows(s, numbers), nil
}

// seriesCall returns the call of generate_series that generates the rows, or
// nil.
func seriesCall(s *sql.Select) *sql.Call {
	if s.From != nil {
		if s.From.Function.Name == seriesFunction {
			return s.From.Function
		}
		return nil
	}
	for _, i := range s.Items {
		if c, ok := i.Expr.(*sql.Call); ok && c.Name == seriesFunction {
			return c
		}
	}
	return nil
}

func (env *Env) series(ctx context.Context, c *sql.Call) (series, error) {
	if len(c.Args) != 2 {
		return series{}, pgerror.New(pgerror.UndefinedFunction, "generate_series with other than 2 arguments is not supported")
	}
	var bounds [2]int64
	for i, a := range c.Args {
		value, err := env.eval(ctx, a, scope{})
		if err != nil {
			return series{}, err
		}
		if value, err = convert(value, sql.TypeInt8); err != nil {
			return series{}, err
		}
		if value.Null {
			return series{next: 1, last: 0}, nil
		}
		bounds[i], _ = value.Int64()
	}
	return series{next: bounds[0], last: bounds[1]}, nil
}

func (env *Env) seriesRows(s *sql.Select, numbers series) Rows {
	return func(ctx context.Context) ([]sql.Value, error) {
		for numbers.next <= numbers.last {
			if err := context.Cause(ctx); err != nil {
				return nil, err
			}
			n := numbers.next
			numbers.next++
			sc := seriesScope(s, n)
			if ok, err := env.matchesScope(ctx, s.Where, sc); err != nil || !ok {
				if err != nil {
					return nil, err
				}
				continue
			}
			return env.seriesRow(ctx, s, sc)
		}
		return nil, nil
	}
}

func seriesScope(s *sql.Select, n int64) scope {
	sc := scope{value: sql.Int(n)}
	if s.From != nil {
		sc.name = sourceName(s.From)
	}
	return sc
}

func (env *Env) matchesScope(ctx context.Context, where sql.Expr, s scope) (bool, error) {
	if where == nil {
		return true, nil
	}
	value, err := env.eval(ctx, where, s)
	return value.True(), err
}

func (env *Env) seriesRow(ctx context.Context, s *sql.Select, sc scope) ([]sql.Value, error) {
	values := make([]sql.Value, 0, len(s.Items))
	for _, i := range s.Items {
		c, ok := i.Expr.(*sql.Call)
		if i.Star || ok && c.Name == seriesFunction {
			values = append(values, sc.value)
			continue
		}
		value, err := env.eval(ctx, i.Expr, sc)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

func (env *Env) countSeries(ctx context.Context, s *sql.Select, numbers series) (int, error) {
	if s.Where == nil {
		return int(max(numbers.last-numbers.next+1, 0)), nil
	}
	n := 0
	for ; numbers.next <= numbers.last; numbers.next++ {
		if err := context.Cause(ctx); err != nil {
			return 0, err
		}
		ok, err := env.matchesScope(ctx, s.Where, seriesScope(s, numbers.next))
		if err != nil {
			return 0, err
		}
		if ok {
			n++
		}
	}
	return n, nil
}

// selectValue runs a SELECT from a function that returns one value.
func (env *Env) selectValue(s *sql.Select) Rows {
	done := false
	return func(ctx context.Context) ([]sql.Value, error) {
		if done {
			return nil, nil
		}
		done = true
		value, err := env.call(ctx, s.From.Function, scope{})
		if err != nil {
			return nil, err
		}
		return env.seriesRow(ctx, s, scope{name: sourceName(s.From), value: value})
	}
}
