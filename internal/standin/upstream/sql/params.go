package sql

// paramTypes returns the types of a statement's parameters, which follow from
// where they stand. A parameter whose place tells nothing is a text.
func paramTypes(s Statement, numbers []int) []Type {
	highest := 0
	for _, n := range numbers {
		highest = max(highest, n)
	}
	types := make([]Type, highest)
	note := func(e Expr, t Type) {
		if param, ok := e.(*Param); ok && types[param.Number-1] == TypeUnknown {
			types[param.Number-1] = t
		}
	}
	WalkStatement(s, func(e Expr) { noteParams(e, note) })
	if q, ok := s.(*Select); ok {
		note(q.Limit, TypeInt8)
	}
	for i := range types {
		if types[i] == TypeUnknown {
			types[i] = TypeText
		}
	}
	return types
}

// noteParams notes the types that one expression gives to its parameters.
func noteParams(e Expr, note func(Expr, Type)) {
	switch e := e.(type) {
	case *Cast:
		note(e.Expr, e.Type)
	case *Call:
		for i, t := range argTypes[e.Name] {
			if i < len(e.Args) {
				note(e.Args[i], t)
			}
		}
	case *Binary:
		noteOperands(e, note)
	}
}

// noteOperands gives a parameter the type of the number that it meets.
func noteOperands(b *Binary, note func(Expr, Type)) {
	for _, pair := range [][2]Expr{{b.Left, b.Right}, {b.Right, b.Left}} {
		if l, ok := pair[1].(*Literal); ok && !l.Value.Null && l.Value.Type.Size() > 0 {
			note(pair[0], l.Value.Type)
		}
	}
}

// argTypes are the types of the arguments of functions.
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
