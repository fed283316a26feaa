package sql

import (
	"strconv"
	"strings"
)

// maxParams is the highest number of a parameter.
const maxParams = 65535

// precedence is the precedence of a binary operator.
type precedence uint8

const (
	precedenceOr precedence = iota + 1
	precedenceAnd
	precedenceNot
	precedenceCompare
	precedenceConcat
	precedenceAdd
	precedenceMultiply
)

// binaryOperators are the binary operators with their precedence.
var binaryOperators = map[string]struct {
	op         Operator
	precedence precedence
}{
	"or": {OpOr, precedenceOr}, "and": {OpAnd, precedenceAnd},
	"=": {OpEqual, precedenceCompare}, "<>": {OpUnequal, precedenceCompare}, "!=": {OpUnequal, precedenceCompare},
	"<": {OpLess, precedenceCompare}, "<=": {OpLessEqual, precedenceCompare},
	">": {OpMore, precedenceCompare}, ">=": {OpMoreEqual, precedenceCompare},
	"||": {OpConcat, precedenceConcat},
	"+":  {OpAdd, precedenceAdd}, "-": {OpSubtract, precedenceAdd},
	"*": {OpMultiply, precedenceMultiply}, "/": {OpDivide, precedenceMultiply}, "%": {OpModulo, precedenceMultiply},
}

func (p *parser) expr() Expr { return p.operation(precedenceOr) }

// operation parses an expression whose operators have at least the given
// precedence.
func (p *parser) operation(lowest precedence) Expr {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		p.fail()
		return &Literal{Value: Null(TypeText)}
	}
	left := p.prefix()
	for p.err == nil {
		next, ok := p.suffix(left, lowest)
		if !ok {
			return left
		}
		p.countOperator()
		left = next
	}
	return left
}

// countOperator counts an operator, and fails when there are too many.
func (p *parser) countOperator() {
	p.operators++
	if p.operators > maxOperators {
		p.fail()
	}
}

func (p *parser) prefix() Expr {
	if p.acceptWord("not") {
		return &Unary{Op: OpNot, Expr: p.operation(precedenceNot)}
	}
	if p.symbol("-") {
		return negative(p.operation(precedenceMultiply + 1))
	}
	e := p.primary()
	for p.symbol("::") {
		e = &Cast{Expr: e, Type: p.typeName()}
		p.countOperator()
	}
	return e
}

// negative returns the negation of an expression. A number is negated in place.
func negative(e Expr) Expr {
	if l, ok := e.(*Literal); ok && !l.Value.Null && l.Value.Type != TypeText && !strings.HasPrefix(l.Value.Text, "-") {
		l.Value.Text = "-" + l.Value.Text
		return l
	}
	return &Unary{Op: OpSubtract, Expr: e}
}

// suffix parses one operator after an expression, with its right operand.
func (p *parser) suffix(left Expr, lowest precedence) (Expr, bool) {
	t := p.current()
	if t.kind != tokenSymbol && t.kind != tokenWord {
		return nil, false
	}
	if o, ok := binaryOperators[t.text]; ok {
		if o.precedence < lowest {
			return nil, false
		}
		p.advance()
		return &Binary{Op: o.op, Left: left, Right: p.operation(o.precedence + 1)}, true
	}
	if lowest > precedenceCompare {
		return nil, false
	}
	return p.predicate(left)
}

// predicate parses IS NULL and IN, with their negations.
func (p *parser) predicate(left Expr) (Expr, bool) {
	if p.acceptWord("is") {
		op := OpIsNull
		if p.acceptWord("not") {
			op = OpNotNull
		}
		p.require(p.acceptWord("null"))
		return &Unary{Op: op, Expr: left}, true
	}
	negate := p.isWord("not")
	if negate && p.ahead(1).text != "in" {
		return nil, false
	}
	if negate {
		p.advance()
	}
	if !p.acceptWord("in") {
		return nil, false
	}
	in := &In{Expr: left, Negate: negate}
	p.require(p.symbol("("))
	in.List = p.list()
	return in, true
}

// list parses expressions up to the closing parenthesis.
func (p *parser) list() []Expr {
	list := []Expr{p.expr()}
	for p.symbol(",") {
		list = append(list, p.expr())
	}
	p.require(p.symbol(")"))
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
			p.require(p.symbol(")"))
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

// named parses an expression that begins with a name: a constant, a function
// call or a column.
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
		return p.qualifiedName(n)
	}
	if p.symbol("(") {
		return p.call(n)
	}
	return &Column{Name: ColumnName(n)}
}

// qualifiedName parses the rest of an expression after a qualifier and its dot.
func (p *parser) qualifiedName(qualifier string) Expr {
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
		p.require(p.symbol(")"))
		return c
	}
	if !p.symbol(")") {
		c.Args = p.list()
	}
	return c
}

func (p *parser) cast() Expr {
	p.advance()
	p.require(p.symbol("("))
	c := &Cast{Expr: p.expr()}
	p.require(p.acceptWord("as"))
	c.Type = p.typeName()
	p.require(p.symbol(")"))
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
		p.require(p.acceptWord("precision"))
	}
	if p.isSymbol("(") {
		p.advance()
		p.list()
	}
	return t
}
