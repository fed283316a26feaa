package sql

// Expr is an expression. The concrete types are those of this file.
type Expr interface{ expr() }

// Literal is a constant.
type Literal struct{ Value Value }

// Param is a parameter; the first has number 1.
type Param struct{ Number int }

// Column is a column of the current row.
type Column struct{ Name ColumnName }

// Excluded is a column of the row that an INSERT proposed and that conflicts.
type Excluded struct{ Name ColumnName }

// Cast converts a value to a type.
type Cast struct {
	Expr Expr
	Type Type
}

// Call calls a function.
type Call struct {
	Name string
	Args []Expr
	// Star is set for count(*).
	Star bool
}

// Unary applies an operator to one value.
type Unary struct {
	Op   Operator
	Expr Expr
}

// Binary applies an operator to two values.
type Binary struct {
	Op          Operator
	Left, Right Expr
}

// In tests whether a value is in a list, or with Negate that it isn't.
type In struct {
	Expr   Expr
	List   []Expr
	Negate bool
}

// Operator is an operator of Unary or Binary.
type Operator string

// The operators of expressions.
const (
	OpOr        Operator = "or"
	OpAnd       Operator = "and"
	OpNot       Operator = "not"
	OpEqual     Operator = "="
	OpUnequal   Operator = "<>"
	OpLess      Operator = "<"
	OpLessEqual Operator = "<="
	OpMore      Operator = ">"
	OpMoreEqual Operator = ">="
	OpIsNull    Operator = "is null"
	OpNotNull   Operator = "is not null"
	OpAdd       Operator = "+"
	OpSubtract  Operator = "-"
	OpConcat    Operator = "||"
	OpMultiply  Operator = "*"
	OpDivide    Operator = "/"
	OpModulo    Operator = "%"
)

func (*Literal) expr()  {}
func (*Param) expr()    {}
func (*Column) expr()   {}
func (*Excluded) expr() {}
func (*Cast) expr()     {}
func (*Call) expr()     {}
func (*Unary) expr()    {}
func (*Binary) expr()   {}
func (*In) expr()       {}

// Walk calls visit for an expression and all those below it.
func Walk(e Expr, visit func(Expr)) {
	if e == nil {
		return
	}
	visit(e)
	switch e := e.(type) {
	case *Cast:
		Walk(e.Expr, visit)
	case *Unary:
		Walk(e.Expr, visit)
	case *Binary:
		Walk(e.Left, visit)
		Walk(e.Right, visit)
	case *Call:
		walkAll(e.Args, visit)
	case *In:
		Walk(e.Expr, visit)
		walkAll(e.List, visit)
	}
}

// WalkStatement calls visit for every expression of a statement.
func WalkStatement(s Statement, visit func(Expr)) {
	switch s := s.(type) {
	case *Select:
		walkItems(s.Items, visit)
		if s.From != nil && s.From.Function != nil {
			Walk(s.From.Function, visit)
		}
		Walk(s.Where, visit)
		for _, o := range s.OrderBy {
			Walk(o.Expr, visit)
		}
		Walk(s.Limit, visit)
	case *Insert:
		for _, row := range s.Rows {
			walkAll(row, visit)
		}
		walkSet(s.Set, visit)
		walkItems(s.Returning, visit)
	case *Update:
		walkSet(s.Set, visit)
		Walk(s.Where, visit)
		walkItems(s.Returning, visit)
	case *Delete:
		Walk(s.Where, visit)
		walkItems(s.Returning, visit)
	}
}

func walkAll(list []Expr, visit func(Expr)) {
	for _, e := range list {
		Walk(e, visit)
	}
}

func walkItems(items []Item, visit func(Expr)) {
	for _, i := range items {
		Walk(i.Expr, visit)
	}
}

func walkSet(set []Assignment, visit func(Expr)) {
	for _, a := range set {
		Walk(a.Value, visit)
	}
}
