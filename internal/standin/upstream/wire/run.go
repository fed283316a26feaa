package wire

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// tables returns the columns of a table as the session sees it.
func (c *session) tables(name sql.TableName) []sql.ColumnName {
	if t := c.txn.Load(); t != nil {
		return t.Columns(name)
	}
	return c.server.db.Version().Columns(name)
}

// run is the execution of one statement.
type run struct {
	session *session
	parsed  sql.Parsed
	params  []sql.Value
	columns []query.Column
	// started is set once the statement has begun.
	started bool
	rows    query.Rows
	tag     string
	sent    int
}

// statementClass says how a statement is treated.
type statementClass uint8

const (
	// classWork is run in a slot and in a transaction.
	classWork statementClass = iota
	// classControl concerns the transaction or the session.
	classControl
	// classTrace asks for the id of the transaction, outside slots.
	classTrace
	// classGroup is a function of the group, outside slots and transactions.
	classGroup
)

func classify(s sql.Statement) statementClass {
	switch s := s.(type) {
	case *sql.Select:
		if groupCall(s) != nil {
			return classGroup
		}
		if asksTransaction(s) {
			return classTrace
		}
		return classWork
	case *sql.Insert, *sql.Update, *sql.Delete:
		return classWork
	default:
		return classControl
	}
}

// countedAs returns the class that an execution is counted under: calls of the
// group's functions and questions for the transaction are no work.
func countedAs(class statementClass, s sql.Statement) sql.Class {
	switch class {
	case classGroup:
		return "GROUP"
	case classTrace:
		return "TRACE"
	default:
		return s.Class()
	}
}

// asksTransaction reports whether a SELECT only asks for the transaction's id.
func asksTransaction(s *sql.Select) bool {
	if s.From != nil || len(s.Items) != 1 {
		return false
	}
	call, ok := s.Items[0].Expr.(*sql.Call)
	return ok && (call.Name == "pg_current_xact_id" || call.Name == "pg_current_xact_id_if_assigned")
}

// columnsOf returns the columns of a statement's result, or nil.
func (c *session) columnsOf(s sql.Statement, params []sql.Type) []query.Column {
	if show, ok := s.(*sql.Show); ok {
		return []query.Column{{Name: sql.ColumnName(show.Name), Type: sql.TypeText}}
	}
	if classify(s) == classGroup {
		return groupColumns(s)
	}
	return query.Columns(s, params, c.tables)
}

// proceed runs the statement and passes its rows to send, at most max of them
// when max isn't 0. It returns false when there may be more rows.
func (r *run) proceed(maxRows uint32, send func([]sql.Value) error) (bool, error) {
	c := r.session
	if err := c.check(r.parsed.Statement); err != nil {
		return false, err
	}
	ctx, done := c.beginRun()
	defer done()
	class := classify(r.parsed.Statement)
	if class == classWork {
		if err := c.server.slots.Acquire(ctx); err != nil {
			return false, err
		}
		defer c.server.slots.Release()
	}
	if !r.started {
		r.started = true
		c.server.counts.note(countedAs(class, r.parsed.Statement))
		if err := r.start(ctx, class); err != nil {
			return false, err
		}
	}
	return r.yield(ctx, maxRows, send)
}

func (r *run) start(ctx context.Context, class statementClass) error {
	c := r.session
	switch class {
	case classGroup:
		row, err := c.callGroup(r.parsed.Statement, r.params)
		r.rows, r.tag = query.Fixed([][]sql.Value{row}), "SELECT"
		return err
	case classControl:
		var err error
		r.tag, r.rows, err = c.controlRows(r.parsed.Statement)
		return err
	}
	env := &query.Env{Txn: c.transaction(), DB: c.server.db, Params: r.params, Caller: c}
	if class == classWork {
		if err := state.Sleep(ctx, c.server.board.Settings.Load().StatementTime); err != nil {
			return err
		}
	}
	result, err := query.Run(ctx, env, r.parsed.Statement)
	if err != nil {
		return err
	}
	r.rows, r.tag = result.Rows, string(r.parsed.Statement.Class())
	if r.rows == nil {
		r.tag = changedTag(r.parsed.Statement.Class(), result.Affected)
	}
	return nil
}

// changedTag returns the tag of a statement that changed rows.
func changedTag(class sql.Class, n int) string {
	if class == sql.ClassInsert {
		return "INSERT 0 " + strconv.Itoa(n)
	}
	return string(class) + " " + strconv.Itoa(n)
}

// yield passes on rows until there are no more, or as many as are wanted.
func (r *run) yield(ctx context.Context, maxRows uint32, send func([]sql.Value) error) (bool, error) {
	if r.rows == nil {
		return true, nil
	}
	for n := uint32(0); maxRows == 0 || n < maxRows; n++ {
		row, err := r.rows(ctx)
		if err != nil {
			return false, err
		}
		if row == nil {
			r.finishTag()
			return true, nil
		}
		if err := r.convert(row); err != nil {
			return false, err
		}
		if err := send(row); err != nil {
			return false, err
		}
		r.sent++
	}
	return false, nil
}

// finishTag adds the number of rows to the tag.
func (r *run) finishTag() {
	switch r.parsed.Statement.(type) {
	case *sql.Show:
	case *sql.Insert:
		r.tag = changedTag(sql.ClassInsert, r.sent)
	default:
		r.tag += " " + strconv.Itoa(r.sent)
	}
	r.rows = nil
}

// convert gives the values of a row the types of the columns.
func (r *run) convert(row []sql.Value) error {
	if len(row) != len(r.columns) {
		return pgerror.New(pgerror.FeatureUnsupported, "cached plan must not change result type")
	}
	for i, v := range row {
		if v.Type == r.columns[i].Type {
			continue
		}
		out, err := v.Convert(r.columns[i].Type)
		if err != nil {
			return pgerror.New(pgerror.InvalidValue, "%v", err)
		}
		row[i] = out
	}
	return nil
}

// controlRows runs a statement that concerns the transaction or the session.
func (c *session) controlRows(s sql.Statement) (string, query.Rows, error) {
	switch s := s.(type) {
	case *sql.Set:
		return "SET", nil, c.setStatement(s)
	case *sql.Reset:
		c.settings.reset(s.Name)
		return "RESET", nil, nil
	case *sql.Show:
		value, ok := c.Setting(s.Name)
		if !ok {
			return "", nil, pgerror.New(pgerror.UndefinedObject, "unknown configuration parameter %q", s.Name)
		}
		return "SHOW", query.Fixed([][]sql.Value{{sql.Text(value)}}), nil
	case *sql.Discard:
		return c.discard(s)
	case *sql.Deallocate:
		return "DEALLOCATE", nil, c.deallocate(s.Name)
	default:
		tag, err := c.control(s)
		return tag, nil, err
	}
}

func (c *session) setStatement(s *sql.Set) error {
	if s.Name == "transaction_read_only" {
		c.transaction().SetReadOnly(s.Value == "on")
		return nil
	}
	if s.Name == "statement_timeout" && !s.Default {
		if _, err := parseTimeout(s.Value); err != nil {
			return err
		}
	}
	if s.Local && !c.block {
		return nil
	}
	c.transaction()
	if s.Default {
		c.settings.reset(s.Name)
		return nil
	}
	c.settings.set(s.Name, s.Value, s.Local)
	return nil
}

func (c *session) discard(d *sql.Discard) (string, query.Rows, error) {
	if !d.All {
		return "DISCARD", nil, nil
	}
	if c.block {
		return "", nil, pgerror.New(pgerror.ActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	c.settings.reset("")
	clear(c.statements)
	return "DISCARD ALL", nil, nil
}

func (c *session) deallocate(name string) error {
	if name == "" {
		clear(c.statements)
		return nil
	}
	if _, ok := c.statements[name]; !ok {
		return pgerror.New(pgerror.InvalidStatement, "prepared statement %q does not exist", name)
	}
	delete(c.statements, name)
	return nil
}

// beginRun returns the context of one statement, which a cancel request or the
// statement's timeout ends.
func (c *session) beginRun() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.runMu.Lock()
	c.cancelRun = cancel
	c.runMu.Unlock()
	before := c.activity.Swap(activityStatement)
	stop := func() {}
	value, _ := c.settings.get("statement_timeout")
	if limit, err := parseTimeout(value); err == nil && limit > 0 {
		ctx, stop = context.WithTimeoutCause(ctx, limit,
			pgerror.New(pgerror.QueryCanceled, "canceling statement due to statement timeout"))
	}
	return ctx, func() {
		c.runMu.Lock()
		c.cancelRun = nil
		c.runMu.Unlock()
		c.activity.Store(before)
		stop()
		cancel(nil)
	}
}

// cancelStatement cancels the statement that runs, if one does.
func (c *session) cancelStatement() {
	c.runMu.Lock()
	defer c.runMu.Unlock()
	if c.cancelRun != nil {
		c.cancelRun(pgerror.New(pgerror.QueryCanceled, "canceling statement due to user request"))
	}
}

// parseTimeout reads a time as settings give it: in milliseconds, or with a
// unit.
func parseTimeout(s string) (time.Duration, error) {
	s = strings.ReplaceAll(strings.TrimSpace(s), " ", "")
	if n, err := strconv.ParseInt(s, 10, 32); err == nil && n >= 0 {
		return time.Duration(n) * time.Millisecond, nil
	}
	d, err := time.ParseDuration(strings.ReplaceAll(s, "min", "m"))
	if err != nil || d < 0 {
		return 0, pgerror.New(pgerror.InvalidParameter, "invalid value for statement_timeout: %q", s)
	}
	return d, nil
}
