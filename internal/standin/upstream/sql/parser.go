package sql

import "slices"

// maxDepth is the maximum nesting depth of expressions.
const maxDepth = 100

// maxOperators is the maximum number of operators in a statement. Each operator
// nests the expression before it, which maxDepth doesn't count.
const maxOperators = 10_000

// Parsed is a statement with the types of its parameters.
type Parsed struct {
	// Statement is nil when the text is empty.
	Statement Statement
	// Params are the types of the parameters, from $1.
	Params []Type
}

// Parse parses a text with one statement or none.
func Parse(text string) (Parsed, error) {
	all, err := ParseAll(text)
	if err != nil {
		return Parsed{}, err
	}
	switch len(all) {
	case 0:
		return Parsed{}, nil
	case 1:
		return all[0], nil
	default:
		return Parsed{}, &MultipleStatementsError{}
	}
}

// MultipleStatementsError reports several statements where only one is allowed.
type MultipleStatementsError struct{}

// Error returns PostgreSQL's message.
func (e *MultipleStatementsError) Error() string {
	return "cannot insert multiple commands into a prepared statement"
}

// ParseAll parses all statements of a text, separated by semicolons.
func ParseAll(text string) ([]Parsed, error) {
	tokens, err := lex(text)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var all []Parsed
	for {
		for p.symbol(";") {
		}
		if p.current().kind == tokenEnd {
			return all, nil
		}
		p.params, p.operators = nil, 0
		s := p.statement()
		if p.err == nil && p.current().kind != tokenEnd && !p.isSymbol(";") {
			p.fail()
		}
		if p.err != nil {
			return nil, p.err
		}
		all = append(all, Parsed{Statement: s, Params: paramTypes(s, p.params)})
	}
}

// parser parses statements from tokens. After an error it stays at the last
// token, so that every loop ends.
type parser struct {
	tokens []token
	at     int
	depth  int
	params []int
	// operators is the number of operators parsed in the statement.
	operators int
	err       error
}

func (p *parser) current() token { return p.tokens[p.at] }

func (p *parser) ahead(n int) token { return p.tokens[min(p.at+n, len(p.tokens)-1)] }

func (p *parser) advance() token {
	t := p.current()
	if t.kind != tokenEnd {
		p.at++
	}
	return t
}

// fail records a syntax error at the current token, unless there was one
// before.
func (p *parser) fail() {
	if p.err == nil {
		t := p.current()
		p.err = &SyntaxError{Offset: t.offset, Near: t.raw}
	}
	p.at = len(p.tokens) - 1
}

// word consumes the current token if it is one of the given words, and reports
// whether it was.
func (p *parser) word(words ...string) bool {
	if !p.isWord(words...) {
		return false
	}
	p.advance()
	return true
}

func (p *parser) isWord(words ...string) bool {
	t := p.current()
	return t.kind == tokenWord && slices.Contains(words, t.text)
}

// words consumes a sequence of words if the current token is the first of them.
// The others are then required.
func (p *parser) words(first string, rest ...string) bool {
	if !p.word(first) {
		return false
	}
	for _, w := range rest {
		p.require(p.word(w))
	}
	return true
}

func (p *parser) symbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	p.advance()
	return true
}

func (p *parser) isSymbol(s string) bool {
	t := p.current()
	return t.kind == tokenSymbol && t.text == s
}

func (p *parser) require(ok bool) {
	if !ok {
		p.fail()
	}
}

// reserved are the words that can be names of tables and columns in quotes
// only.
var reserved = []string{
	"select", "from", "where", "order", "limit", "for", "insert", "into", "values", "update", "set",
	"delete", "returning", "on", "and", "or", "not", "null", "group", "having", "union", "join", "as",
	"distinct", "all", "offset", "fetch", "with", "case", "like", "between",
}

func (p *parser) name() string {
	t := p.current()
	switch {
	case t.kind == tokenQuoted && t.text != "":
	case t.kind == tokenWord && !slices.Contains(reserved, t.text):
	default:
		p.fail()
		return ""
	}
	p.advance()
	return t.text
}

// qualified parses a name that a schema or table may qualify, and returns it
// without the qualifier.
func (p *parser) qualified() string {
	n := p.name()
	for p.symbol(".") {
		n = p.name()
	}
	return n
}

func (p *parser) table() TableName { return TableName(p.qualified()) }

func (p *parser) column() ColumnName { return ColumnName(p.qualified()) }

func (p *parser) statement() Statement {
	switch t := p.current(); {
	case t.kind != tokenWord:
		p.fail()
		return nil
	case t.text == "select":
		return p.selectStatement()
	case t.text == "insert":
		return p.insert()
	case t.text == "update":
		return p.update()
	case t.text == "delete":
		return p.deleteStatement()
	default:
		return p.control()
	}
}

func (p *parser) selectStatement() Statement {
	p.advance()
	s := &Select{Items: p.items()}
	if p.word("from") {
		s.From = p.source()
	}
	s.Where = p.where()
	if p.words("order", "by") {
		s.OrderBy = p.orderBy()
	}
	if p.word("limit") && !p.word("all") {
		s.Limit = p.expr()
	}
	if p.word("for") {
		p.require(p.word("update", "share"))
		s.ForUpdate = true
	}
	if s.ForUpdate && (s.From == nil || s.From.Function != nil) {
		p.fail()
	}
	return s
}

func (p *parser) items() []Item {
	list := []Item{p.item()}
	for p.symbol(",") {
		list = append(list, p.item())
	}
	return list
}

func (p *parser) item() Item {
	if p.symbol("*") {
		return Item{Star: true}
	}
	e := p.expr()
	i := Item{Expr: e, Name: resultName(e)}
	switch {
	case p.word("as"):
		i.Name = ColumnName(p.label())
	case p.current().kind == tokenQuoted, p.current().kind == tokenWord && !p.isWord(reserved...):
		i.Name = ColumnName(p.name())
	}
	return i
}

// label parses a name that may be a reserved word, such as one after AS.
func (p *parser) label() string {
	t := p.current()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		p.fail()
		return ""
	}
	p.advance()
	return t.text
}

// resultName returns the default name of a result's column.
func resultName(e Expr) ColumnName {
	switch e := e.(type) {
	case *Column:
		return e.Name
	case *Call:
		return ColumnName(e.Name)
	case *Cast:
		if n := resultName(e.Expr); n != "?column?" {
			return n
		}
		return ColumnName(castNames[e.Type])
	default:
		return "?column?"
	}
}

// castNames are the default names of the columns of casts.
var castNames = map[Type]string{
	TypeBool: "bool", TypeInt2: "int2", TypeInt4: "int4", TypeInt8: "int8", TypeText: "text",
	TypeVarchar: "varchar", TypeFloat8: "float8", TypeTimestamptz: "timestamptz", TypeXID8: "xid8",
}

func (p *parser) source() *Source {
	s := &Source{}
	if next := p.ahead(1); p.current().kind == tokenWord && next.kind == tokenSymbol && next.text == "(" {
		call, ok := p.primary().(*Call)
		if !ok {
			p.fail()
			return s
		}
		s.Function = call
	} else {
		s.Table = p.table()
	}
	if p.word("as") || p.current().kind == tokenQuoted || p.current().kind == tokenWord && !p.isWord(reserved...) {
		s.Alias = ColumnName(p.name())
	}
	return s
}

func (p *parser) where() Expr {
	if !p.word("where") {
		return nil
	}
	return p.expr()
}

func (p *parser) orderBy() []Order {
	var list []Order
	for {
		o := Order{Expr: p.expr()}
		if !p.word("asc") {
			o.Descending = p.word("desc")
		}
		list = append(list, o)
		if !p.symbol(",") {
			return list
		}
	}
}
