package caller

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// addExtended adds a message of the extended protocol to a batch. It replaces
// the names of prepared statements by those used upstream, and the batch lists
// the statements that the connection must have prepared before it.
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

// portal is a bound statement. It lives until its transaction ends.
type portal struct {
	name       string
	statements []sqltext.Statement
}

// addExecute adds the execution of a portal. The statements of a portal that
// an earlier batch has bound are added here, as they may include a COMMIT.
func (s *session) addExecute(b *batch, body []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if _, boundNow := findPortal(b.bound, m.Portal); !boundNow {
		if p, ok := findPortal(s.portals, m.Portal); ok {
			b.addStatements(s, p.statements)
		}
	}
	b.append('E', body)
	return nil
}

// findPortal returns the last portal with a name.
func findPortal(list []portal, name string) (portal, bool) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].name == name {
			return list[i], true
		}
	}
	return portal{}, false
}

// keepPortals adds the portals of a batch to the session's while the
// transaction stays open, and drops all of them otherwise.
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

// addParse sends every statement upstream as the unnamed one, so that the
// caller receives the upstream's answer. A named statement is prepared under
// its upstream name when it is first used.
func (s *session) addParse(b *batch, body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if _, known := s.find(b, m.Name); known && m.Name != "" {
		b.fail(&proxyError{code: codeDuplicateStmt, message: fmt.Sprintf("prepared statement %q already exists", m.Name)})
		return nil
	}
	p := newPrepared(m.Query, append([]uint32(nil), m.ParameterOIDs...))
	if err := unsupported(p.statements); err != nil {
		b.fail(err)
		return nil
	}
	b.setClass(p.statements)
	b.preparations = append(b.preparations, preparation{name: m.Name, prepared: p})
	b.unnamedParsed = m.Name == ""
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
	b.addStatements(s, p.statements)
	b.bound = append(b.bound, portal{m.DestinationPortal, p.statements})
	name := b.require(m.PreparedStatement, p)
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
	m.Name = b.require(m.Name, p)
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
		b.dropPreparation(m.Name)
		m.Name = neverPrepared
	}
	b.encodeMessage(&m)
	return nil
}

func (b *batch) dropPreparation(name string) {
	for i := range b.preparations {
		if b.preparations[i].name == name {
			b.preparations[i].dropped = true
		}
	}
}

// find returns a statement that was prepared in this batch or an earlier one.
func (s *session) find(b *batch, name string) (*prepared, bool) {
	for i := len(b.preparations) - 1; i >= 0; i-- {
		if b.preparations[i].name == name && !b.preparations[i].dropped {
			return b.preparations[i].prepared, true
		}
	}
	for _, closed := range b.closed {
		if closed == name {
			return nil, false
		}
	}
	return s.statements.find(name)
}

// require returns a statement's upstream name. It adds the statement to the
// batch's needs unless the batch itself prepares it.
func (b *batch) require(name string, p *prepared) string {
	if name == "" && b.unnamedParsed {
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
	return &proxyError{code: codeUnknownStmt, message: fmt.Sprintf("prepared statement %q does not exist", name)}
}

// cutString splits a body after its first NUL-terminated string.
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
