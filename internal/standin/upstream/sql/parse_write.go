package sql

func (p *parser) insert() Statement {
	p.advance()
	p.need(p.word("into"))
	s := &Insert{Table: p.table()}
	p.need(p.symbol("("))
	for {
		s.Columns = append(s.Columns, p.column())
		if !p.symbol(",") {
			break
		}
	}
	p.need(p.symbol(")"))
	p.need(p.word("values"))
	for {
		s.Rows = append(s.Rows, p.row(len(s.Columns)))
		if !p.symbol(",") {
			break
		}
	}
	if p.words("on", "conflict") {
		p.conflict(s)
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) row(columns int) []Expr {
	p.need(p.symbol("("))
	list := []Expr{p.expr()}
	for p.symbol(",") {
		list = append(list, p.expr())
	}
	if len(list) != columns {
		p.fail()
	}
	p.need(p.symbol(")"))
	return list
}

func (p *parser) conflict(s *Insert) {
	if p.symbol("(") {
		p.need(p.column() == ColumnID)
		p.need(p.symbol(")"))
	}
	p.need(p.word("do"))
	if p.word("nothing") {
		s.Conflict = ConflictDoesNothing
		return
	}
	p.need(p.words("update", "set"))
	s.Conflict = ConflictUpdates
	s.Set = p.assignments()
}

func (p *parser) update() Statement {
	p.advance()
	s := &Update{Table: p.table()}
	p.need(p.word("set"))
	s.Set = p.assignments()
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) assignments() []Assignment {
	var list []Assignment
	for {
		a := Assignment{Column: p.column()}
		p.need(a.Column != ColumnID)
		p.need(p.symbol("="))
		a.Value = p.expr()
		list = append(list, a)
		if !p.symbol(",") {
			return list
		}
	}
}

func (p *parser) deleteStatement() Statement {
	p.advance()
	p.need(p.word("from"))
	s := &Delete{Table: p.table()}
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) returning() []Item {
	if !p.word("returning") {
		return nil
	}
	return p.items()
}
