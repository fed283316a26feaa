package sql

import (
	"strconv"
	"strings"
)

// maxParams is the largest number of a parameter.
const maxParams = 65535

// binding is the strength with which a binary operator binds.
type binding uint8

const (
	bindOr binding = iota + 1
	bindAnd
	bindNot
	bindCompare
	bindConcat
	bindAdd
	bindMultiply
)

// binaryOperators gives each binary operator its strength.
var binaryOperators = map[string]struct {
	op       Operator
	strength binding
}{
	"or": {OpOr, bindOr}, "and": {OpAnd, bindAnd},
	"=": {OpEqual, bindCompare}, "<>": {OpUnequal, bindCompare}, "!=": {OpUnequal, bindCompare},
	"<": {OpLess, bindCompare}, "<=": {OpLessEqual, bindCompare},
	">": {OpMore, bindCompare}, ">=": {OpMoreEqual, bindCompare},
	"||": {OpConcat, bindConcat},
	"+":  {OpAdd, bindAdd}, "-": {OpSubtract, bindAdd},
	"*": {OpMultiply, bindMultiply}, "/": {OpDivide, bindMultiply}, "%": {OpModulo, bindMultiply},
}

func (p *parser) expr() Expr { return p.operation(bindOr) }

// operation reads operators that bind at least as strongly as given.
func (p *parser) operation(least binding) Expr {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		p.fail()
		return &Literal{Value: Null(TypeText)}
	}
	left := p.prefix()
	for p.err == nil {
		next, ok := p.suffix(left, least)
		if !ok {
			return left
		}
		p.count()
		left = next
	}
	return left
}

// count counts an operator, and fails when there are too many.
func (p *parser) count() {
	p.operators++
	if p.operators > maxOperators {
		p.fail()
	}
}

func (p *parser) prefix() Expr {
	if p.word("not") {
		return &Unary{Op: OpNot, Expr: p.operation(bindNot)}
	}
	if p.symbol("-") {
		return negative(p.operation(bindMultiply + 1))
	}
	e := p.primary()
	for p.symbol("::") {
		e = &Cast{Expr: e, Type: p.typeName()}
		p.count()
	}
	return e
}

// negative returns the negated expression, a number at once.
func negative(e Expr) Expr {
	if l, ok := e.(*Literal); ok && !l.Value.Null && l.Value.Type != TypeText && !strings.HasPrefix(l.Value.Text, "-") {
		l.Value.Text = "-" + l.Value.Text
		return l
	}
	return &Unary{Op: OpSubtract, Expr: e}
}

// suffix reads one operator behind an expression with what follows it.
func (p *parser) suffix(left Expr, least binding) (Expr, bool) {
	t := p.current()
	if t.kind != tokenSymbol && t.kind != tokenWord {
		return nil, false
	}
	if o, ok := binaryOperators[t.text]; ok {
		if o.strength < least {
			return nil, false
		}
		p.advance()
		return &Binary{Op: o.op, Left: left, Right: p.operation(o.strength + 1)}, true
	}
	if least > bindCompare {
		return nil, false
	}
	return p.test(left)
}

// test reads IS NULL and IN.
func (p *parser) test(left Expr) (Expr, bool) {
	if p.word("is") {
		op := OpIsNull
		if p.word("not") {
			op = OpNotNull
		}
		p.need(p.word("null"))
		return &Unary{Op: op, Expr: left}, true
	}
	negate := p.isWord("not")
	if negate && p.ahead(1).text != "in" {
		return nil, false
	}
	if negate {
		p.advance()
	}
	if !p.word("in") {
		return nil, false
	}
	in := &In{Expr: left, Negate: negate}
	p.need(p.symbol("("))
	in.List = p.list()
	return in, true
}

// list reads expressions up to the closing parenthesis.
func (p *parser) list() []Expr {
	list := []Expr{p.expr()}
	for p.symbol(",") {
		list = append(list, p.expr())
	}
	p.need(p.symbol(")"))
	return list
}

func (p *parser) primary() Expr {
	t := p.current()
	switch t.kind {
	case tokenString:
		p.advance()
		return &Literal{Value: Text(t.text)}
	case tokenNumber:
		return p.number()
	case tokenParam:
		return p.param()
	case tokenSymbol:
		if p.symbol("(") {
			e := p.expr()
			p.need(p.symbol(")"))
			return e
		}
	case tokenWord, tokenQuoted:
		return p.named()
	}
	p.fail()
	return &Literal{Value: Null(TypeText)}
}

func (p *parser) number() Expr {
	t := p.current()
	v := Value{Type: TypeInt4, Text: t.text}
	if n, err := strconv.ParseInt(t.text, 10, 64); err != nil {
		v.Type = TypeFloat8
		if _, err := strconv.ParseFloat(t.text, 64); err != nil {
			p.fail()
		}
	} else if n > maximum(TypeInt4) {
		v.Type = TypeInt8
	}
	p.advance()
	return &Literal{Value: v}
}

func (p *parser) param() Expr {
	n, err := strconv.Atoi(p.current().text)
	if err != nil || n < 1 || n > maxParams {
		p.fail()
		return &Literal{Value: Null(TypeText)}
	}
	p.advance()
	p.params = append(p.params, n)
	return &Param{Number: n}
}

// named reads what begins with a name: a constant, a function or a column.
func (p *parser) named() Expr {
	if p.current().kind == tokenWord {
		switch p.current().text {
		case "null":
			p.advance()
			return &Literal{Value: Null(TypeText)}
		case "true", "false":
			return &Literal{Value: Bool(p.advance().text == "true")}
		case "current_user", "session_user", "user", "current_timestamp":
			return &Call{Name: p.advance().text}
		case "cast":
			return p.cast()
		}
	}
	n := p.name()
	if p.isSymbol(".") {
		p.advance()
		return p.member(n)
	}
	if p.symbol("(") {
		return p.call(n)
	}
	return &Column{Name: ColumnName(n)}
}

// member reads what follows a qualifier and its point.
func (p *parser) member(qualifier string) Expr {
	n := p.name()
	if p.symbol("(") {
		return p.call(n)
	}
	if qualifier == "excluded" {
		return &Excluded{Name: ColumnName(n)}
	}
	return &Column{Name: ColumnName(n)}
}

func (p *parser) call(name string) Expr {
	c := &Call{Name: name}
	if p.symbol("*") {
		c.Star = true
		p.need(p.symbol(")"))
		return c
	}
	if !p.symbol(")") {
		c.Args = p.list()
	}
	return c
}

func (p *parser) cast() Expr {
	p.advance()
	p.need(p.symbol("("))
	c := &Cast{Expr: p.expr()}
	p.need(p.word("as"))
	c.Type = p.typeName()
	p.need(p.symbol(")"))
	return c
}

func (p *parser) typeName() Type {
	n := p.qualified()
	t, ok := typeNames[n]
	if !ok {
		p.at = max(p.at-1, 0)
		p.fail()
		return TypeText
	}
	if n == "double" {
		p.need(p.word("precision"))
	}
	if p.isSymbol("(") {
		p.advance()
		p.list()
	}
	return t
}
