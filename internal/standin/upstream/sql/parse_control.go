package sql

import "strings"

// control parses the statements that control transactions and the session.
func (p *parser) control() Statement {
	t := p.current()
	p.advance()
	switch t.text {
	case "begin":
		p.acceptWord("work", "transaction")
		return p.begin(&Begin{})
	case "start":
		p.require(p.acceptWord("transaction"))
		return p.begin(&Begin{Start: true})
	case "commit", "end":
		p.acceptWord("work", "transaction")
		return &Commit{}
	case "rollback", "abort":
		return p.rollback()
	case "savepoint":
		return &Savepoint{Name: p.name()}
	case "release":
		p.acceptWord("savepoint")
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
		p.acceptWord("prepare")
		if p.acceptWord("all") {
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
	case p.acceptSequence("isolation", "level"):
		if p.acceptWord("read") {
			p.require(p.acceptWord("committed", "uncommitted"))
			return
		}
		if p.acceptWord("repeatable") {
			p.require(p.acceptWord("read"))
			return
		}
		p.require(p.acceptWord("serializable"))
	case p.acceptWord("read"):
		b.ReadOnly = p.isWord("only")
		p.require(p.acceptWord("only", "write"))
	default:
		p.acceptWord("not")
		p.require(p.acceptWord("deferrable"))
	}
}

func (p *parser) rollback() Statement {
	p.acceptWord("work", "transaction")
	r := &Rollback{}
	if p.acceptWord("to") {
		p.acceptWord("savepoint")
		r.Savepoint = p.name()
	}
	return r
}

func (p *parser) set() Statement {
	s := &Set{}
	if p.acceptWord("local") {
		s.Local = true
	} else {
		p.acceptWord("session")
	}
	if p.acceptWord("transaction") {
		return p.setTransaction(s, "transaction_read_only")
	}
	if p.acceptSequence("characteristics", "as", "transaction") {
		return p.setTransaction(s, "default_transaction_read_only")
	}
	if p.acceptSequence("time", "zone") {
		s.Name = "timezone"
	} else {
		s.Name = p.setting()
		p.require(p.symbol("=") || p.acceptWord("to"))
	}
	if p.isWord("default") {
		p.advance()
		s.Default = true
		return s
	}
	s.Value = p.settingValue()
	return s
}

// setTransaction parses the modes of SET TRANSACTION into a setting, which is
// on for READ ONLY and off otherwise, also when the only mode is an isolation
// level. An isolation level has no effect itself.
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
	if p.acceptSequence("transaction", "isolation", "level") {
		return "transaction_isolation"
	}
	if p.acceptSequence("time", "zone") {
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
	if p.acceptWord("all") {
		return &Reset{}
	}
	return &Reset{Name: p.setting()}
}

func (p *parser) discard() Statement {
	d := &Discard{All: p.isWord("all")}
	p.require(p.acceptWord("all", "plans", "sequences", "temp", "temporary"))
	return d
}
