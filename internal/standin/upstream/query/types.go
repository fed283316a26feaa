package query

import "github.com/chervilladder/chervilladder/internal/standin/upstream/sql"

// typeOf returns the type of an expression's value.
func typeOf(e sql.Expr, params []sql.Type) sql.Type {
	switch e := e.(type) {
	case *sql.Literal:
		return e.Value.Type
	case *sql.Param:
		if e.Number <= len(params) {
			return params[e.Number-1]
		}
		return sql.TypeText
	case *sql.Cast:
		return e.Type
	case *sql.Call:
		return callType(e, params)
	case *sql.Unary:
		if e.Op == sql.OpSubtract {
			return typeOf(e.Expr, params)
		}
		return sql.TypeBool
	case *sql.Binary:
		return binaryType(e, params)
	case *sql.In:
		return sql.TypeBool
	default:
		return sql.TypeText
	}
}

func callType(c *sql.Call, params []sql.Type) sql.Type {
	if c.Name == seriesFunction {
		return seriesType(c, params)
	}
	if c.Name == countFunction {
		return sql.TypeInt8
	}
	if f, ok := functions[c.Name]; ok {
		return f.result
	}
	return sql.TypeText
}

// seriesType returns the type of the numbers of a series: that of its bounds.
func seriesType(c *sql.Call, params []sql.Type) sql.Type {
	for _, a := range c.Args {
		if typeOf(a, params) == sql.TypeInt8 {
			return sql.TypeInt8
		}
	}
	return sql.TypeInt4
}

func binaryType(b *sql.Binary, params []sql.Type) sql.Type {
	switch b.Op {
	case sql.OpConcat:
		return sql.TypeText
	case sql.OpAdd, sql.OpSubtract, sql.OpMultiply, sql.OpDivide, sql.OpModulo:
		return arithmeticType(typeOf(b.Left, params), typeOf(b.Right, params))
	default:
		return sql.TypeBool
	}
}

// arithmeticType returns the type of the result of arithmetic on two types. A
// text is treated as a float8 beside a float8, and as an integer otherwise.
func arithmeticType(a, b sql.Type) sql.Type {
	if a == sql.TypeFloat8 || b == sql.TypeFloat8 {
		return sql.TypeFloat8
	}
	if a == sql.TypeInt4 && b == sql.TypeInt4 {
		return sql.TypeInt4
	}
	return sql.TypeInt8
}
