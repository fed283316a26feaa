package wire

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// flushBytes is the size at which the buffered part of a result is sent.
const flushBytes = 64 << 10

// The transaction statuses of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusBlock  = 'T'
	statusFailed = 'E'
)

// errAnswerDropped ends a connection whose answer an injected fault has
// dropped.
var errAnswerDropped = errors.New("answer dropped by an injected fault")

// finishAnswer sends ReadyForQuery and flushes. After a commit it applies the
// faults in force to the answer.
func (c *session) finishAnswer() error {
	if c.ctx.Err() != nil {
		return nil
	}
	c.sendReady()
	if c.committedChanges {
		c.committedChanges = false
		if err := c.applyAnswerFault(); err != nil {
			return err
		}
	}
	return c.backend.Flush()
}

func (c *session) sendReady() {
	for _, name := range reportedSettings {
		if value, _ := c.Setting(name.lower()); c.settings.needsReport(name, value) {
			c.backend.Send(&pgproto3.ParameterStatus{Name: string(name), Value: value})
		}
	}
	status := byte(statusIdle)
	c.activity.Store(activityIdle)
	if c.inBlock {
		status = statusBlock
		c.activity.Store(activityTransaction)
	}
	if c.failed {
		status = statusFailed
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// applyAnswerFault delays the answer to a commit, or returns an error that
// drops it, if such a fault is in force.
func (c *session) applyAnswerFault() error {
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
		return errAnswerDropped
	}
	if before.PauseAnswers > 0 {
		// Sleep fails only when the session ends, which its context
		// shows.
		_ = state.Sleep(c.ctx, before.PauseTime)
	}
	return nil
}

// sendColumns sends the description of a result's columns. Nil formats stand
// for text.
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
	c.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

// sendRow sends one row. It flushes every flushBytes, so that a large result
// isn't buffered whole.
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
		c.unflushed += len(values[i])
	}
	c.backend.Send(&pgproto3.DataRow{Values: values})
	c.unflushed += rowOverhead
	if c.unflushed < flushBytes {
		return nil
	}
	c.unflushed = 0
	return c.backend.Flush()
}

// rowOverhead is the approximate size of a row without its values, in bytes.
const rowOverhead = 16

func (c *session) sendComplete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *session) sendError(err error) {
	e := asError(err)
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: string(e.Code), Message: e.Message, Detail: e.Detail, Position: e.Position,
	})
}
