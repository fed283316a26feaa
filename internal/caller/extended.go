package caller

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// addExtended takes a message of the extended protocol into a batch. Names of
// prepared statements are replaced by those used upstream, and the batch
// lists what has to be prepared before it.
func (s *session) addExtended(b *batch, kind byte, body []byte) error {
	switch kind {
	case 'P':
		return s.addParse(b, body)
	case 'B':
		return s.addBind(b, body)
	case 'D':
		return s.addDescribe(b, body)
	case 'C':
		return s.addClose(b, body)
	default:
		return s.addExecute(b, body)
	}
}

// portal is a bound statement. It lasts as long as its transaction.
type portal struct {
	name  string
	parts []sqltext.Statement
}

// addExecute runs a portal. One that an earlier batch has bound may be
// anything, such as a COMMIT.
func (s *session) addExecute(b *batch, body []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if _, here := findPortal(b.bound, m.Portal); !here {
		if p, ok := findPortal(s.portals, m.Portal); ok {
			b.run(s, p.parts)
		}
	}
	b.append('E', body)
	return nil
}

// findPortal returns the latest portal of a name.
func findPortal(list []portal, name string) (portal, bool) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].name == name {
			return list[i], true
		}
	}
	return portal{}, false
}

// keepPortals remembers the portals of a batch while their transaction stays
// open.
func (s *session) keepPortals(b *batch, open bool) {
	if !open {
		s.portals = nil
		return
	}
	for _, p := range b.bound {
		s.portals = slices.DeleteFunc(s.portals, func(old portal) bool { return old.name == p.name })
		s.portals = append(s.portals, p)
	}
}

// addParse passes a named statement on as the unnamed one, so that the caller
// gets the upstream's answer; it is prepared by its upstream name when it is
// first used.
func (s *session) addParse(b *batch, body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if _, known := s.find(b, m.Name); known && m.Name != "" {
		b.fail(&protocolError{code: codeDuplicateStmt, message: fmt.Sprintf("prepared statement %q already exists", m.Name)})
		return nil
	}
	p := newPrepared(m.Query, append([]uint32(nil), m.ParameterOIDs...))
	if err := refused(p.parts); err != nil {
		b.fail(err)
		return nil
	}
	b.tag(p.parts)
	b.parsed = append(b.parsed, parsed{name: m.Name, prepared: p})
	b.unnamedHere = m.Name == ""
	m.Name = ""
	b.encodeMessage(&m)
	return nil
}

func (s *session) addBind(b *batch, body []byte) error {
	var m pgproto3.Bind
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	p, ok := s.find(b, m.PreparedStatement)
	if !ok {
		b.fail(unknownStatement(m.PreparedStatement))
		return nil
	}
	b.run(s, p.parts)
	b.bound = append(b.bound, portal{m.DestinationPortal, p.parts})
	name := b.use(m.PreparedStatement, p)
	destination, rest := cutString(body)
	_, rest = cutString(rest)
	b.append('B', joinBind(destination, name, rest))
	return nil
}

func (s *session) addDescribe(b *batch, body []byte) error {
	var m pgproto3.Describe
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if m.ObjectType != 'S' {
		b.append('D', body)
		return nil
	}
	p, ok := s.find(b, m.Name)
	if !ok {
		b.fail(unknownStatement(m.Name))
		return nil
	}
	m.Name = b.use(m.Name, p)
	b.encodeMessage(&m)
	return nil
}

func (s *session) addClose(b *batch, body []byte) error {
	var m pgproto3.Close
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if m.ObjectType == 'S' {
		b.closed = append(b.closed, m.Name)
		b.drop(m.Name)
		m.Name = noStatement
	}
	b.encodeMessage(&m)
	return nil
}

func (b *batch) drop(name string) {
	for i := range b.parsed {
		if b.parsed[i].name == name {
			b.parsed[i].dropped = true
		}
	}
}

// find returns a statement that was prepared before, or in this batch.
func (s *session) find(b *batch, name string) (*prepared, bool) {
	for i := len(b.parsed) - 1; i >= 0; i-- {
		if b.parsed[i].name == name && !b.parsed[i].dropped {
			return b.parsed[i].prepared, true
		}
	}
	for _, closed := range b.closed {
		if closed == name {
			return nil, false
		}
	}
	return s.statements.find(name)
}

// use returns the name by which the upstream knows a statement, and lists the
// statement as needed if the batch itself does not prepare it.
func (b *batch) use(name string, p *prepared) string {
	if name == "" && b.unnamedHere {
		return ""
	}
	for _, n := range b.needs {
		if n.Name == p.statement.Name {
			return n.Name
		}
	}
	b.needs = append(b.needs, p.statement)
	return p.statement.Name
}

func unknownStatement(name string) error {
	return &protocolError{code: codeUnknownStmt, message: fmt.Sprintf("prepared statement %q does not exist", name)}
}

// cutString splits a body behind its first zero-ended string.
func cutString(body []byte) (s, rest []byte) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return body, nil
	}
	return body[:i], body[i+1:]
}

func joinBind(destination []byte, statement string, rest []byte) []byte {
	out := make([]byte, 0, len(destination)+len(statement)+len(rest)+2)
	out = append(out, destination...)
	out = append(out, 0)
	out = append(out, statement...)
	out = append(out, 0)
	return append(out, rest...)
}
