package wire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// prepared is a prepared statement.
type prepared struct {
	parsed  sql.Parsed
	params  []sql.Type
	columns []query.Column
}

// portal is a prepared statement with bound parameters and result formats.
type portal struct {
	run     *run
	formats []int16
	done    bool
}

func (c *session) parse(m *pgproto3.Parse) error {
	if _, ok := c.statements[m.Name]; ok && m.Name != "" {
		return pgerror.New(pgerror.DuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	p, err := sql.Parse(m.Query)
	if err != nil {
		return withCharacterPosition(m.Query, err)
	}
	if err := c.checkNotFailed(p.Statement); p.Statement != nil && err != nil {
		return err
	}
	s := &prepared{parsed: p, params: paramTypes(p.Params, m.ParameterOIDs)}
	s.columns = c.columnsOf(p.Statement, s.params)
	c.statements[m.Name] = s
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// paramTypes returns the types of parameters: those given by the caller, and
// where it gives none, those inferred from the statement.
func paramTypes(inferred []sql.Type, given []uint32) []sql.Type {
	types := make([]sql.Type, max(len(inferred), len(given)))
	for i := range types {
		types[i] = sql.TypeText
		if i < len(inferred) {
			types[i] = inferred[i]
		}
		if i < len(given) && given[i] != 0 {
			types[i] = sql.Type(given[i])
		}
	}
	return types
}

func (c *session) bind(m *pgproto3.Bind) error {
	s, ok := c.statements[m.PreparedStatement]
	if !ok {
		return pgerror.New(pgerror.InvalidStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if err := c.checkNotFailed(s.parsed.Statement); s.parsed.Statement != nil && err != nil {
		return err
	}
	if _, ok := c.portals[m.DestinationPortal]; ok && m.DestinationPortal != "" {
		return pgerror.New("42P03", "cursor %q already exists", m.DestinationPortal)
	}
	params, err := bindParams(s, m)
	if err != nil {
		return err
	}
	formats, err := allFormats(m.ResultFormatCodes, len(s.columns))
	if err != nil {
		return err
	}
	r := &run{session: c, parsed: s.parsed, params: params, columns: s.columns}
	c.portals[m.DestinationPortal] = &portal{run: r, formats: formats}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func bindParams(s *prepared, m *pgproto3.Bind) ([]sql.Value, error) {
	if len(m.Parameters) != len(s.params) {
		return nil, pgerror.New(pgerror.ProtocolViolation,
			"bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(s.params))
	}
	formats, err := allFormats(m.ParameterFormatCodes, len(m.Parameters))
	if err != nil {
		return nil, err
	}
	values := make([]sql.Value, len(m.Parameters))
	for i, data := range m.Parameters {
		if values[i], err = decode(s.params[i], formats[i], data); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func decode(t sql.Type, format int16, data []byte) (sql.Value, error) {
	if data == nil {
		return sql.Null(t), nil
	}
	if format == pgproto3.BinaryFormat {
		v, err := sql.Decode(t, data)
		if err != nil {
			return v, pgerror.New(pgerror.InvalidBinary, "%v", err)
		}
		return v, nil
	}
	v, err := sql.Text(string(data)).Convert(t)
	if err != nil {
		return v, pgerror.New(pgerror.InvalidValue, "%v", err)
	}
	return v, nil
}

// allFormats returns the format of each of n values. No given format stands for
// text, and a single one applies to all values.
func allFormats(given []int16, n int) ([]int16, error) {
	formats := make([]int16, n)
	switch {
	case len(given) == 0:
	case len(given) == 1:
		for i := range formats {
			formats[i] = given[0]
		}
	case len(given) == n:
		copy(formats, given)
	default:
		return nil, pgerror.New(pgerror.ProtocolViolation, "bind message has %d formats for %d values", len(given), n)
	}
	for _, f := range formats {
		if f != pgproto3.TextFormat && f != pgproto3.BinaryFormat {
			return nil, pgerror.New(pgerror.ProtocolViolation, "unsupported format code: %d", f)
		}
	}
	return formats, nil
}

// The kinds of objects in Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

func (c *session) describe(m *pgproto3.Describe) error {
	switch m.ObjectType {
	case objectStatement:
		s, ok := c.statements[m.Name]
		if !ok {
			return pgerror.New(pgerror.InvalidStatement, "prepared statement %q does not exist", m.Name)
		}
		oids := make([]uint32, len(s.params))
		for i, t := range s.params {
			oids[i] = uint32(t)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		c.sendDescription(s.columns, nil)
		return nil
	case objectPortal:
		p, ok := c.portals[m.Name]
		if !ok {
			return pgerror.New(pgerror.InvalidCursor, "portal %q does not exist", m.Name)
		}
		c.sendDescription(p.run.columns, p.formats)
		return nil
	default:
		return pgerror.New(pgerror.ProtocolViolation, "invalid DESCRIBE message subtype %d", m.ObjectType)
	}
}

func (c *session) sendDescription(columns []query.Column, formats []int16) {
	if columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.sendColumns(columns, formats)
}

func (c *session) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return pgerror.New(pgerror.InvalidCursor, "portal %q does not exist", m.Portal)
	}
	if p.run.parsed.Statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.done {
		c.sendComplete(string(p.run.parsed.Statement.Class()) + " 0")
		return nil
	}
	done, err := p.run.advance(m.MaxRows, func(row []sql.Value) error { return c.sendRow(row, p.formats) })
	if err != nil {
		return err
	}
	if !done {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	p.done = true
	c.sendComplete(p.run.tag)
	return nil
}

func (c *session) closeObject(m *pgproto3.Close) {
	switch m.ObjectType {
	case objectStatement:
		delete(c.statements, m.Name)
	case objectPortal:
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
