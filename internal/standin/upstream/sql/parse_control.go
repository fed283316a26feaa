package sql

import "strings"

// control parses the statements that control transactions and the session.
func (p *parser) control() Statement {
	t := p.current()
	p.advance()
	switch t.text {
	case "begin":
		p.word("work", "transaction")
		return p.begin(&Begin{})
	case "start":
		p.require(p.word("transaction"))
		return p.begin(&Begin{Start: true})
	case "commit", "end":
		p.word("work", "transaction")
		return &Commit{}
	case "rollback", "abort":
		return p.rollback()
	case "savepoint":
		return &Savepoint{Name: p.name()}
	case "release":
		p.word("savepoint")
		return &Release{Name: p.name()}
	case "set":
		return p.set()
	case "reset":
		return p.reset()
	case "show":
		return &Show{Name: p.setting()}
	case "discard":
		return p.discard()
	case "deallocate":
		p.word("prepare")
		if p.word("all") {
			return &Deallocate{}
		}
		return &Deallocate{Name: p.name()}
	default:
		p.at--
		p.fail()
		return nil
	}
}

func (p *parser) begin(b *Begin) Statement {
	for p.isWord("isolation", "read", "not", "deferrable") {
		p.mode(b)
		p.symbol(",")
	}
	return b
}

// mode parses one transaction mode. All isolation levels are accepted and
// treated as READ COMMITTED.
func (p *parser) mode(b *Begin) {
	switch {
	case p.words("isolation", "level"):
		if p.word("read") {
			p.require(p.word("committed", "uncommitted"))
			return
		}
		if p.word("repeatable") {
			p.require(p.word("read"))
			return
		}
		p.require(p.word("serializable"))
	case p.word("read"):
		b.ReadOnly = p.isWord("only")
		p.require(p.word("only", "write"))
	default:
		p.word("not")
		p.require(p.word("deferrable"))
	}
}

func (p *parser) rollback() Statement {
	p.word("work", "transaction")
	r := &Rollback{}
	if p.word("to") {
		p.word("savepoint")
		r.Savepoint = p.name()
	}
	return r
}

func (p *parser) set() Statement {
	s := &Set{}
	if p.word("local") {
		s.Local = true
	} else {
		p.word("session")
	}
	if p.word("transaction") {
		return p.setTransaction(s, "transaction_read_only")
	}
	if p.words("characteristics", "as", "transaction") {
		return p.setTransaction(s, "default_transaction_read_only")
	}
	if p.words("time", "zone") {
		s.Name = "timezone"
	} else {
		s.Name = p.setting()
		p.require(p.symbol("=") || p.word("to"))
	}
	if p.isWord("default") {
		p.advance()
		s.Default = true
		return s
	}
	s.Value = p.settingValue()
	return s
}

// setTransaction parses the modes of SET TRANSACTION. Only READ ONLY and READ
// WRITE take effect.
func (p *parser) setTransaction(s *Set, name string) Statement {
	b := &Begin{}
	p.begin(b)
	s.Name = name
	s.Value = "off"
	if b.ReadOnly {
		s.Value = "on"
	}
	return s
}

// setting parses the name of a setting, which may contain dots.
func (p *parser) setting() string {
	if p.words("transaction", "isolation", "level") {
		return "transaction_isolation"
	}
	if p.words("time", "zone") {
		return "timezone"
	}
	n := p.label()
	for p.symbol(".") {
		n += "." + p.label()
	}
	return strings.ToLower(n)
}

// settingValue parses the value of a setting, which may be a list.
func (p *parser) settingValue() string {
	var parts []string
	for {
		sign := ""
		if p.symbol("-") {
			sign = "-"
		}
		t := p.current()
		switch t.kind {
		case tokenWord, tokenQuoted, tokenString, tokenNumber:
			p.advance()
		default:
			p.fail()
		}
		parts = append(parts, sign+t.text)
		if !p.symbol(",") {
			return strings.Join(parts, ", ")
		}
	}
}

func (p *parser) reset() Statement {
	if p.word("all") {
		return &Reset{}
	}
	return &Reset{Name: p.setting()}
}

func (p *parser) discard() Statement {
	d := &Discard{All: p.isWord("all")}
	p.require(p.word("all", "plans", "sequences", "temp", "temporary"))
	return d
}
