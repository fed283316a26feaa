package upstream

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// transactionIDStatement queries the id of the running transaction, by which its outcome
// can be queried after its answer was lost.
var transactionIDStatement = chervilladder.Statement{Name: "cl-transaction", SQL: "SELECT pg_current_xact_id()"}

// queryTransaction queries the id of the transaction that a batch is to commit, before
// the first byte of the batch is sent: either the outcome of the batch can be queried
// later, or the batch has certainly not run.
func (c *Conn) queryTransaction(mode chervilladder.TransactionIDQuery) error {
	c.transaction = ""
	if mode == chervilladder.TransactionIDNone {
		return nil
	}
	out, last, err := c.transactionQuery(mode)
	if err != nil {
		return err
	}
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(false, err)
	}
	for {
		m, err := c.readAnswer(nil)
		if err != nil {
			return c.lost(false, err)
		}
		if m[0] == 'E' && mode == chervilladder.TransactionIDWithin {
			return c.responseError(m[headerBytes:])
		}
		c.recordTransaction(m)
		if m[0] == last {
			c.parsing = c.parsing[:0]
			return nil
		}
	}
}

// transactionQuery encodes the query of a transaction's id, and returns the type of the
// message that ends its answer.
func (c *Conn) transactionQuery(mode chervilladder.TransactionIDQuery) (out []byte, last byte, err error) {
	if mode == chervilladder.TransactionIDBefore {
		out, err = (&pgproto3.Query{String: "SELECT pg_current_xact_id_if_assigned()"}).Encode(c.appendMarker(nil))
		return out, 'Z', err
	}
	if out, err = c.prepare(c.appendMarker(nil), transactionIDStatement); err != nil {
		return nil, 0, err
	}
	messages := []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: transactionIDStatement.Name},
		&pgproto3.Execute{},
		&pgproto3.Flush{},
	}
	for _, m := range messages {
		if out, err = m.Encode(out); err != nil {
			return nil, 0, fmt.Errorf("encode the query of the transaction id: %w", err)
		}
	}
	return out, 'C', nil
}

func (c *Conn) recordTransaction(m []byte) {
	var d pgproto3.DataRow
	if m[0] != 'D' || d.Decode(m[headerBytes:]) != nil || len(d.Values) != 1 {
		return
	}
	c.transaction = chervilladder.TransactionID(d.Values[0])
}

type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeCommitted
	outcomeAborted
)

// transactionOutcome queries at the primary the outcome of the transaction that ran on a
// lost connection. It first ends the connection there, so that the transaction can't
// commit later. The answer is valid only in the term in which the transaction ran:
// another primary may have given its id to another transaction.
func (c *Conn) transactionOutcome(ctx context.Context, term chervilladder.Term) (outcome, error) {
	m, err := DialMember(ctx, c.upstream)
	if err != nil {
		return outcomeUnknown, err
	}
	defer m.Close()
	status, err := m.conn.groupCall(ctx, fmt.Sprintf("group_end(%d)", c.process))
	if err != nil {
		return outcomeUnknown, err
	}
	if status.Term != term || status.Role != chervilladder.RolePrimary {
		return outcomeUnknown, nil
	}
	r, err := m.conn.queryRow(ctx, "SELECT pg_xact_status("+quote(string(c.transaction))+")")
	if err != nil {
		return outcomeUnknown, err
	}
	switch r.text("pg_xact_status") {
	case "committed":
		return outcomeCommitted, nil
	case "aborted":
		return outcomeAborted, nil
	default:
		return outcomeUnknown, nil
	}
}
