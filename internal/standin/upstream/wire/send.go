package wire

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// flushBytes is how much of a result is gathered before it is sent.
const flushBytes = 64 << 10

// The statuses of a transaction in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusBlock  = 'T'
	statusFailed = 'E'
)

// errAnswerLost ends a connection whose answer a fault has taken.
var errAnswerLost = errors.New("answer is lost by a fault")

// ready tells the caller that the next statement may come. The answer to a
// commit is subject to faults.
func (c *session) ready() error {
	if c.ctx.Err() != nil {
		return nil
	}
	c.sendReady()
	if c.wrote {
		c.wrote = false
		if err := c.delayAnswer(); err != nil {
			return err
		}
	}
	return c.out.Flush()
}

func (c *session) sendReady() {
	for _, name := range reported {
		if value, _ := c.Setting(name.lower()); c.settings.tell(name, value) {
			c.out.Send(&pgproto3.ParameterStatus{Name: string(name), Value: value})
		}
	}
	status := byte(statusIdle)
	c.activity.Store(activityIdle)
	if c.block {
		status = statusBlock
		c.activity.Store(activityTransaction)
	}
	if c.failed {
		status = statusFailed
	}
	c.out.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// delayAnswer holds back or loses the answer to a commit if a fault wants it.
func (c *session) delayAnswer() error {
	faults := c.server.board.Faults
	if f := faults.Load(); f.DropAnswers == 0 && f.PauseAnswers == 0 {
		return nil
	}
	var before state.Faults
	faults.Update(func(f *state.Faults) {
		before = *f
		switch {
		case f.DropAnswers > 0:
			f.DropAnswers--
		case f.PauseAnswers > 0:
			f.PauseAnswers--
		}
	})
	if before.DropAnswers > 0 {
		return errAnswerLost
	}
	if before.PauseAnswers > 0 {
		// An end of the session shows in its context.
		_ = state.Sleep(c.ctx, before.PauseTime)
	}
	return nil
}

// sendColumns describes the columns of a result. No formats stand for text.
func (c *session) sendColumns(columns []query.Column, formats []int16) {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.Name), DataTypeOID: uint32(col.Type), DataTypeSize: col.Type.Size(), TypeModifier: -1,
		}
		if formats != nil {
			fields[i].Format = formats[i]
		}
	}
	c.out.Send(&pgproto3.RowDescription{Fields: fields})
}

// sendRow sends one row. A large result goes out in parts.
func (c *session) sendRow(row []sql.Value, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		if v.Null {
			continue
		}
		values[i] = []byte(v.Text)
		if formats != nil && formats[i] == pgproto3.BinaryFormat {
			data, err := v.Encode()
			if err != nil {
				return pgerror.New(pgerror.InvalidValue, "%v", err)
			}
			values[i] = data
		}
		c.unsent += len(values[i])
	}
	c.out.Send(&pgproto3.DataRow{Values: values})
	c.unsent += rowOverhead
	if c.unsent < flushBytes {
		return nil
	}
	c.unsent = 0
	return c.out.Flush()
}

// rowOverhead is about what a row takes besides its values, in bytes.
const rowOverhead = 16

func (c *session) sendComplete(tag string) {
	c.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *session) sendError(err error) {
	e := asError(err)
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	c.out.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: string(e.Code), Message: e.Message, Detail: e.Detail, Position: e.Position,
	})
}
