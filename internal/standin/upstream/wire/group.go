package wire

import (
	"context"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// groupPrefix is the prefix of the names of the group's functions, which report
// and change the member's state in its group, and bind or end connections.
const groupPrefix = "group_"

// statusColumns are the columns of the status that each of the group's
// functions returns.
var statusColumns = []query.Column{
	{Name: "member", Type: sql.TypeText},
	{Name: "role", Type: sql.TypeText},
	{Name: "term", Type: sql.TypeInt8},
	{Name: "received", Type: sql.TypeInt8},
	{Name: "replayed", Type: sql.TypeInt8},
	{Name: "contact_ms", Type: sql.TypeInt8},
	{Name: "claim", Type: sql.TypeInt8},
	{Name: "holder", Type: sql.TypeText},
	{Name: "slots", Type: sql.TypeInt8},
	{Name: "connections", Type: sql.TypeInt8},
	{Name: "log_term", Type: sql.TypeInt8},
}

// groupCall returns a SELECT's call of one of the group's functions, or nil.
func groupCall(s *sql.Select) *sql.Call {
	var call *sql.Call
	if s.From != nil {
		call = s.From.Function
	} else if len(s.Items) == 1 {
		call, _ = s.Items[0].Expr.(*sql.Call)
	}
	if call == nil || !strings.HasPrefix(call.Name, groupPrefix) {
		return nil
	}
	return call
}

// groupColumns returns the columns that a SELECT from one of the group's
// functions selects.
func groupColumns(s sql.Statement) []query.Column {
	q, ok := s.(*sql.Select)
	if !ok || q.From == nil {
		return statusColumns
	}
	var columns []query.Column
	for _, i := range q.Items {
		if i.Star {
			columns = append(columns, statusColumns...)
			continue
		}
		for _, have := range statusColumns {
			if have.Name == itemColumn(i) {
				columns = append(columns, query.Column{Name: i.Name, Type: have.Type})
			}
		}
	}
	return columns
}

func itemColumn(i sql.Item) sql.ColumnName {
	if c, ok := i.Expr.(*sql.Column); ok {
		return c.Name
	}
	return ""
}

// callGroup calls one of the group's functions and returns the selected columns
// of the status after the call.
func (c *session) callGroup(s sql.Statement, params []sql.Value) ([]sql.Value, error) {
	q, ok := s.(*sql.Select)
	if !ok {
		return nil, pgerror.New(pgerror.Internal, "statement is not a function call")
	}
	call := groupCall(q)
	args := groupArgs{env: query.Env{DB: c.server.db, Params: params, FunctionSession: c}, list: call.Args}
	status, err := c.callFunction(call.Name, &args)
	if err != nil {
		return nil, err
	}
	all := statusRow(status)
	if q.From == nil {
		return all, nil
	}
	var row []sql.Value
	for _, i := range q.Items {
		if i.Star {
			row = append(row, all...)
			continue
		}
		value, err := statusValue(all, itemColumn(i))
		if err != nil {
			return nil, err
		}
		row = append(row, value)
	}
	return row, nil
}

func statusValue(all []sql.Value, name sql.ColumnName) (sql.Value, error) {
	for i, col := range statusColumns {
		if col.Name == name {
			return all[i], nil
		}
	}
	return sql.Value{}, pgerror.New("42703", "a status has no column %q", name)
}

// callFunction calls one of the group's functions by name.
func (c *session) callFunction(name string, a *groupArgs) (group.Status, error) {
	k := c.server.keeper
	switch name {
	case "group_status":
		return k.Status(), a.check(0)
	case "group_claim":
		vm := chervilladder.VMID(a.text())
		if err := a.check(1); err != nil {
			return group.Status{}, err
		}
		return k.Claim(vm)
	case "group_bind":
		claim := chervilladder.Claim(a.number())
		if err := a.check(1); err != nil {
			return group.Status{}, err
		}
		return c.bindClaim(claim)
	case "group_end":
		id := a.number()
		if err := a.check(1); err != nil {
			return group.Status{}, err
		}
		c.server.End(uint32(id))
		return k.Status(), nil
	case "group_accept":
		b := a.ballot()
		if err := a.check(2); err != nil {
			return group.Status{}, err
		}
		return k.Accept(b)
	case "group_promote":
		b := a.ballot()
		if err := a.check(2); err != nil {
			return group.Status{}, err
		}
		return k.Promote(b)
	case "group_follow":
		b, primary := a.ballot(), chervilladder.UpstreamID(a.text())
		if err := a.check(3); err != nil {
			return group.Status{}, err
		}
		return k.Follow(b, primary)
	default:
		return group.Status{}, pgerror.New(pgerror.UndefinedFunction, "function %s does not exist", name)
	}
}

// bindClaim binds the connection to a claim. It does so before it checks the
// claim, so that a higher claim granted in between ends the connection.
func (c *session) bindClaim(claim chervilladder.Claim) (group.Status, error) {
	before := c.claim.Swap(uint64(claim))
	if err := c.server.keeper.CheckClaim(claim); err != nil {
		c.claim.Store(before)
		return group.Status{}, err
	}
	return c.server.keeper.Status(), nil
}

// groupArgs evaluates the arguments of a function in their order, and keeps the
// first error.
type groupArgs struct {
	env  query.Env
	list []sql.Expr
	at   int
	err  error
}

func (a *groupArgs) next() sql.Value {
	a.at++
	if a.err != nil || a.at > len(a.list) {
		return sql.Value{Null: true}
	}
	e := a.list[a.at-1]
	sql.Walk(e, func(e sql.Expr) {
		if _, ok := e.(*sql.Call); ok {
			a.err = pgerror.New(pgerror.FeatureUnsupported, "an argument must be a constant or a parameter")
		}
	})
	if a.err != nil {
		return sql.Value{Null: true}
	}
	v, err := a.env.Eval(context.Background(), e)
	a.err = err
	return v
}

func (a *groupArgs) text() string { return a.next().Text }

func (a *groupArgs) number() uint64 {
	v := a.next()
	if a.err != nil || v.Null {
		return 0
	}
	n, err := v.Int64()
	if err != nil || n < 0 {
		a.err = pgerror.New(pgerror.InvalidValue, "%q is not a term or claim", v.Text)
	}
	return uint64(max(n, 0))
}

func (a *groupArgs) ballot() chervilladder.Ballot {
	return chervilladder.Ballot{Term: chervilladder.Term(a.number()), Attempt: chervilladder.AttemptID(a.text())}
}

// check returns an error when an argument is invalid or there are not n of
// them.
func (a *groupArgs) check(n int) error {
	if len(a.list) != n {
		return pgerror.New(pgerror.UndefinedFunction, "the function takes %d arguments", n)
	}
	return a.err
}

func statusRow(s group.Status) []sql.Value {
	contact := int64(-1)
	if s.Contact >= 0 {
		contact = s.Contact.Milliseconds()
	}
	return []sql.Value{
		sql.Text(string(s.Member)),
		sql.Text(s.Role.String()),
		sql.Int(int64(s.Term)),
		sql.Int(int64(s.Received)),
		sql.Int(int64(s.Replayed)),
		sql.Int(contact),
		sql.Int(int64(s.Claim)),
		sql.Text(string(s.Holder)),
		sql.Int(int64(s.Slots)),
		sql.Int(int64(s.Connections)),
		sql.Int(int64(s.LogTerm)),
	}
}
