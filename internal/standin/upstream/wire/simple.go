package wire

import (
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// simpleQuery executes the statements of a simple query. Outside a block they
// form one transaction.
func (c *session) simpleQuery(text string) error {
	delete(c.portals, "")
	delete(c.statements, "")
	if err := c.simpleStatements(text); err != nil {
		c.reportError(err)
		c.failTransaction()
	}
	return c.finishAnswer()
}

func (c *session) simpleStatements(text string) error {
	list, err := sql.ParseAll(text)
	if err != nil {
		return withCharacterPosition(text, err)
	}
	if len(list) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, p := range list {
		if err := c.simpleStatement(p, i == len(list)-1); err != nil {
			return err
		}
	}
	return nil
}

// simpleStatement executes one statement. Outside a block, the transaction is
// committed after the last statement and before its answer.
func (c *session) simpleStatement(p sql.Parsed, last bool) error {
	if len(p.Params) > 0 {
		return pgerror.New("42P02", "there is no parameter $%d", len(p.Params))
	}
	r := &run{session: c, parsed: p, columns: c.columnsOf(p.Statement, nil)}
	described := false
	describe := func() {
		if !described && r.columns != nil {
			c.sendColumns(r.columns, nil)
		}
		described = true
	}
	_, err := r.advance(0, func(row []sql.Value) error {
		describe()
		return c.sendRow(row, nil)
	})
	if err != nil {
		return err
	}
	describe()
	if last {
		if err := c.finishImplicit(); err != nil {
			return err
		}
	}
	c.sendComplete(r.tag)
	return nil
}

// withCharacterPosition converts an error's position from bytes to characters.
func withCharacterPosition(text string, err error) error {
	e := asError(err)
	if e.Position > 0 {
		e.Position = int32(utf8.RuneCountInString(text[:e.Position-1])) + 1
	}
	return e
}
