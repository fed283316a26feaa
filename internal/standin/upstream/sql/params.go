package sql

// paramTypes infers the types of a statement's parameters from their context. A
// parameter whose context implies no type is a text.
func paramTypes(s Statement, numbers []int) []Type {
	highest := 0
	for _, n := range numbers {
		highest = max(highest, n)
	}
	types := make([]Type, highest)
	infer := func(e Expr, t Type) {
		if param, ok := e.(*Param); ok && types[param.Number-1] == TypeUnknown {
			types[param.Number-1] = t
		}
	}
	WalkStatement(s, func(e Expr) { inferParams(e, infer) })
	if q, ok := s.(*Select); ok {
		infer(q.Limit, TypeInt8)
	}
	for i := range types {
		if types[i] == TypeUnknown {
			types[i] = TypeText
		}
	}
	return types
}

// inferParams calls infer for each operand of an expression whose type the
// expression implies.
func inferParams(e Expr, infer func(Expr, Type)) {
	switch e := e.(type) {
	case *Cast:
		infer(e.Expr, e.Type)
	case *Call:
		for i, t := range argTypes[e.Name] {
			if i < len(e.Args) {
				infer(e.Args[i], t)
			}
		}
	case *Binary:
		inferOperands(e, infer)
	}
}

// inferOperands calls infer for an operand beside a literal of a fixed-size
// type, with the literal's type.
func inferOperands(b *Binary, infer func(Expr, Type)) {
	for _, pair := range [][2]Expr{{b.Left, b.Right}, {b.Right, b.Left}} {
		if l, ok := pair[1].(*Literal); ok && !l.Value.Null && l.Value.Type.Size() > 0 {
			infer(pair[0], l.Value.Type)
		}
	}
}

// argTypes are the types of functions' arguments.
var argTypes = map[string][]Type{
	"pg_sleep":        {TypeFloat8},
	"generate_series": {TypeInt4, TypeInt4},
	"repeat":          {TypeText, TypeInt4},
	"group_claim":     {TypeText},
	"group_bind":      {TypeInt8},
	"group_accept":    {TypeInt8, TypeText},
	"group_promote":   {TypeInt8, TypeText},
	"group_end":       {TypeInt8},
	"group_follow":    {TypeInt8, TypeText, TypeText},
}
