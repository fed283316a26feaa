package upstream

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// row is the row of the answer to one of this package's own statements.
type row struct {
	columns []string
	values  [][]byte
}

// text returns a column as text; an absent one is empty.
func (r row) text(column string) string {
	i := slices.Index(r.columns, column)
	if i < 0 || i >= len(r.values) {
		return ""
	}
	return string(r.values[i])
}

// number returns a column as a number; an absent one is zero.
func (r row) number(column string) int64 {
	n, _ := strconv.ParseInt(r.text(column), 10, 64)
	return n
}

// queryRow runs a statement by the simple query protocol and returns its last row.
func (c *Conn) queryRow(ctx context.Context, sql string) (row, error) {
	out, err := (&pgproto3.Query{String: sql}).Encode(c.appendMarker(c.scratch[:0]))
	if err != nil {
		return row{}, fmt.Errorf("encode query: %w", err)
	}
	return c.requestRow(ctx, out, nil)
}

// requestRow sends messages, which begin with a marker, and returns the last row of the
// answer. The given columns are used if the answer doesn't describe its own.
func (c *Conn) requestRow(ctx context.Context, out []byte, columns []string) (row, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if d, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(d)
	} else {
		_ = c.conn.SetDeadline(time.Time{})
	}
	if _, err := c.conn.Write(out); err != nil {
		return row{}, c.lost(false, err)
	}
	return c.readRow(columns)
}

func (c *Conn) readRow(columns []string) (row, error) {
	last := row{columns: columns}
	var failure error
	for {
		m, err := c.readAnswer(nil)
		if err != nil {
			return row{}, c.lost(true, err)
		}
		body := m[headerBytes:]
		switch m[0] {
		case 'T':
			var d pgproto3.RowDescription
			if err := d.Decode(body); err != nil {
				return row{}, c.lost(true, err)
			}
			last.columns = columnNames(d)
		case 'D':
			var d pgproto3.DataRow
			if err := d.Decode(body); err != nil {
				return row{}, c.lost(true, err)
			}
			last.values = d.Values
		case 'E':
			failure = c.responseError(body)
		case 'Z':
			return last, failure
		}
	}
}

func columnNames(d pgproto3.RowDescription) []string {
	names := make([]string, len(d.Fields))
	for i, f := range d.Fields {
		names[i] = string(f.Name)
	}
	return names
}
