package sql

func (p *parser) insert() Statement {
	p.advance()
	p.require(p.acceptWord("into"))
	s := &Insert{Table: p.table()}
	p.require(p.symbol("("))
	for {
		s.Columns = append(s.Columns, p.column())
		if !p.symbol(",") {
			break
		}
	}
	p.require(p.symbol(")"))
	p.require(p.acceptWord("values"))
	for {
		s.Rows = append(s.Rows, p.row(len(s.Columns)))
		if !p.symbol(",") {
			break
		}
	}
	if p.acceptSequence("on", "conflict") {
		p.conflict(s)
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) row(columns int) []Expr {
	p.require(p.symbol("("))
	list := []Expr{p.expr()}
	for p.symbol(",") {
		list = append(list, p.expr())
	}
	if len(list) != columns {
		p.fail()
	}
	p.require(p.symbol(")"))
	return list
}

func (p *parser) conflict(s *Insert) {
	if p.symbol("(") {
		p.require(p.column() == ColumnID)
		p.require(p.symbol(")"))
	}
	p.require(p.acceptWord("do"))
	if p.acceptWord("nothing") {
		s.Conflict = ConflictDoesNothing
		return
	}
	p.require(p.acceptSequence("update", "set"))
	s.Conflict = ConflictUpdates
	s.Set = p.assignments()
}

func (p *parser) update() Statement {
	p.advance()
	s := &Update{Table: p.table()}
	p.require(p.acceptWord("set"))
	s.Set = p.assignments()
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) assignments() []Assignment {
	var list []Assignment
	for {
		a := Assignment{Column: p.column()}
		p.require(a.Column != ColumnID)
		p.require(p.symbol("="))
		a.Value = p.expr()
		list = append(list, a)
		if !p.symbol(",") {
			return list
		}
	}
}

func (p *parser) deleteStatement() Statement {
	p.advance()
	p.require(p.acceptWord("from"))
	s := &Delete{Table: p.table()}
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) returning() []Item {
	if !p.acceptWord("returning") {
		return nil
	}
	return p.items()
}
