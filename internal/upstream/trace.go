package upstream

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// traceStatement asks for the id of the running transaction.
var traceStatement = chervilladder.Statement{Name: "cl-transaction", SQL: "SELECT pg_current_xact_id()"}

// ask learns the id of the transaction that a batch is to commit, before the
// first byte of the batch leaves: either the outcome of the batch can be asked
// for later, or it has certainly not run.
func (c *Conn) ask(trace chervilladder.Trace) error {
	c.transaction = ""
	if trace == chervilladder.TraceNone {
		return nil
	}
	out, last, err := c.question(trace)
	if err != nil {
		return err
	}
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(false, err)
	}
	for {
		m, err := c.readMessage(nil)
		if err != nil {
			return c.lost(false, err)
		}
		if m[0] == 'E' && trace == chervilladder.TraceWithin {
			return c.serverError(m[headerBytes:])
		}
		c.keepTransaction(m)
		if m[0] == last {
			c.parsing = c.parsing[:0]
			return nil
		}
	}
}

// question encodes the question for a transaction's id, and returns the type
// of the message that ends its answer.
func (c *Conn) question(trace chervilladder.Trace) (out []byte, last byte, err error) {
	if trace == chervilladder.TraceBefore {
		out, err = (&pgproto3.Query{String: "SELECT pg_current_xact_id_if_assigned()"}).Encode(nil)
		return out, 'Z', err
	}
	if out, err = c.prepare(nil, traceStatement); err != nil {
		return nil, 0, err
	}
	messages := []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: traceStatement.Name},
		&pgproto3.Execute{},
		&pgproto3.Flush{},
	}
	for _, m := range messages {
		if out, err = m.Encode(out); err != nil {
			return nil, 0, fmt.Errorf("encode question for the transaction: %w", err)
		}
	}
	return out, 'C', nil
}

func (c *Conn) keepTransaction(m []byte) {
	var d pgproto3.DataRow
	if m[0] != 'D' || d.Decode(m[headerBytes:]) != nil || len(d.Values) != 1 {
		return
	}
	c.transaction = chervilladder.TransactionID(d.Values[0])
}

// fate is what became of a transaction.
type fate uint8

const (
	fateUnknown fate = iota
	fateCommitted
	fateAborted
)

// fate asks the primary what became of the transaction that ran on a lost
// connection. It first ends the connection there, so that the transaction
// can't commit later. The answer counts only in the term that the transaction
// ran in: another primary may have given its id to another transaction.
func (c *Conn) fate(ctx context.Context, term chervilladder.Term) (fate, error) {
	m, err := DialMember(ctx, c.upstream)
	if err != nil {
		return fateUnknown, err
	}
	defer m.Close()
	status, err := m.conn.groupCall(ctx, fmt.Sprintf("group_end(%d)", c.process))
	if err != nil {
		return fateUnknown, err
	}
	if status.Term != term || status.Role != chervilladder.RolePrimary {
		return fateUnknown, nil
	}
	r, err := m.conn.queryRow(ctx, "SELECT pg_xact_status("+quote(string(c.transaction))+")")
	if err != nil {
		return fateUnknown, err
	}
	switch r.text("pg_xact_status") {
	case "committed":
		return fateCommitted, nil
	case "aborted":
		return fateAborted, nil
	default:
		return fateUnknown, nil
	}
}
