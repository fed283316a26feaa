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

// tableColumns returns the columns of a table as the session sees it.
func (c *session) tableColumns(name sql.TableName) []sql.ColumnName {
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
	// started is set once the statement has started.
	started bool
	rows    query.Rows
	tag     string
	sent    int
}

// executionKind says whether a statement needs a slot and a transaction.
type executionKind uint8

const (
	// kindWork reads or writes tables, in a slot and in a transaction.
	kindWork executionKind = iota
	// kindControl controls the transaction or the session.
	kindControl
	// kindXID asks for the id of the transaction, outside slots.
	kindXID
	// kindGroup calls one of the group's functions, outside slots and
	// transactions.
	kindGroup
)

func classify(s sql.Statement) executionKind {
	switch s := s.(type) {
	case *sql.Select:
		if groupCall(s) != nil {
			return kindGroup
		}
		if selectsXID(s) {
			return kindXID
		}
		return kindWork
	case *sql.Insert, *sql.Update, *sql.Delete:
		return kindWork
	default:
		return kindControl
	}
}

// countedAs returns the class under which an execution is counted. Calls of the
// group's functions and requests for the transaction's id don't count as
// SELECT.
func countedAs(kind executionKind, s sql.Statement) sql.Class {
	switch kind {
	case kindGroup:
		return "GROUP"
	case kindXID:
		return "TRACE"
	default:
		return s.Class()
	}
}

// selectsXID reports whether a SELECT only asks for the transaction's id, which
// may assign it.
func selectsXID(s *sql.Select) bool {
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
	if classify(s) == kindGroup {
		return groupColumns(s)
	}
	return query.Columns(s, params, c.tableColumns)
}

// advance starts or continues the statement and passes its rows to send, at
// most maxRows of them unless maxRows is 0. It returns false when there may be
// more rows.
func (r *run) advance(maxRows uint32, send func([]sql.Value) error) (bool, error) {
	c := r.session
	if err := c.checkNotFailed(r.parsed.Statement); err != nil {
		return false, err
	}
	ctx, done := c.beginRun()
	defer done()
	kind := classify(r.parsed.Statement)
	if kind == kindWork {
		if err := c.server.slots.Acquire(ctx); err != nil {
			return false, err
		}
		defer c.server.slots.Release()
	}
	if !r.started {
		r.started = true
		c.server.counts.add(countedAs(kind, r.parsed.Statement))
		if err := r.start(ctx, kind); err != nil {
			return false, err
		}
	}
	return r.sendRows(ctx, maxRows, send)
}

func (r *run) start(ctx context.Context, kind executionKind) error {
	c := r.session
	switch kind {
	case kindGroup:
		row, err := c.callGroup(r.parsed.Statement, r.params)
		r.rows, r.tag = query.FixedRows([][]sql.Value{row}), "SELECT"
		return err
	case kindControl:
		var err error
		r.tag, r.rows, err = c.runControl(r.parsed.Statement)
		return err
	}
	env := &query.Env{Txn: c.transaction(), DB: c.server.db, Params: r.params, FunctionSession: c}
	if kind == kindWork {
		if err := state.Sleep(ctx, c.server.board.Settings.Load().StatementDelay); err != nil {
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

// changedTag returns the command tag of a statement that changed n rows.
func changedTag(class sql.Class, n int) string {
	if class == sql.ClassInsert {
		return "INSERT 0 " + strconv.Itoa(n)
	}
	return string(class) + " " + strconv.Itoa(n)
}

// sendRows passes rows to send until there are no more, or maxRows are sent.
func (r *run) sendRows(ctx context.Context, maxRows uint32, send func([]sql.Value) error) (bool, error) {
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

// finishTag adds the number of rows to the command tag.
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

// convert converts the values of a row to the types of the result's columns.
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

// runControl runs a statement that controls the transaction or the session. It
// returns the command tag and the rows.
func (c *session) runControl(s sql.Statement) (string, query.Rows, error) {
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
		return "SHOW", query.FixedRows([][]sql.Value{{sql.Text(value)}}), nil
	case *sql.Discard:
		return c.discard(s)
	case *sql.Deallocate:
		return "DEALLOCATE", nil, c.deallocate(s.Name)
	default:
		tag, err := c.runTransactionControl(s)
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
	if s.Local && !c.inBlock {
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
	if c.inBlock {
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

// beginRun returns the context of one statement, which ends at a cancel request
// or the statement timeout, and a function to call after the statement.
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

// cancelStatement cancels the running statement, if there is one.
func (c *session) cancelStatement() {
	c.runMu.Lock()
	defer c.runMu.Unlock()
	if c.cancelRun != nil {
		c.cancelRun(pgerror.New(pgerror.QueryCanceled, "canceling statement due to user request"))
	}
}

// parseTimeout parses the value of a timeout setting: milliseconds, or a
// duration with a unit.
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
