package query

import (
	"context"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// The functions that generate or count rows. They are not in functions.
const (
	seriesFunction = "generate_series"
	countFunction  = "count"
)

// ServerVersion is the PostgreSQL version that the stand-in reports.
const ServerVersion = "16.0"

// maxRepeatBytes is the longest text that repeat() returns, in bytes.
const maxRepeatBytes = 16 << 20

// function is the signature and implementation of an SQL function that returns
// one value.
type function struct {
	result sql.Type
	args   int
	call   func(context.Context, *Env, []sql.Value) (sql.Value, error)
}

// functions are the implemented functions that return one value.
var functions = map[string]function{
	"pg_sleep":                       {sql.TypeText, 1, sleep},
	"current_setting":                {sql.TypeText, 1, currentSetting},
	"set_config":                     {sql.TypeText, 3, setConfig},
	"pg_is_in_recovery":              {sql.TypeBool, 0, inRecovery},
	"version":                        {sql.TypeText, 0, version},
	"current_user":                   {sql.TypeText, 0, currentUser},
	"session_user":                   {sql.TypeText, 0, currentUser},
	"user":                           {sql.TypeText, 0, currentUser},
	"now":                            {sql.TypeTimestamptz, 0, now},
	"current_timestamp":              {sql.TypeTimestamptz, 0, now},
	"clock_timestamp":                {sql.TypeTimestamptz, 0, now},
	"pg_backend_pid":                 {sql.TypeInt4, 0, processID},
	"repeat":                         {sql.TypeText, 2, repeat},
	"pg_current_xact_id":             {sql.TypeXID8, 0, assignXID},
	"pg_current_xact_id_if_assigned": {sql.TypeXID8, 0, assignedXID},
	"pg_xact_status":                 {sql.TypeText, 1, xactStatus},
}

func (env *Env) call(ctx context.Context, c *sql.Call, s scope) (sql.Value, error) {
	f, ok := functions[c.Name]
	if !ok {
		return sql.Value{}, pgerror.New(pgerror.UndefinedFunction, "function %s does not exist in the stand-in", c.Name)
	}
	if len(c.Args) != f.args {
		return sql.Value{}, pgerror.New(pgerror.UndefinedFunction, "function %s takes %d arguments", c.Name, f.args)
	}
	args := make([]sql.Value, len(c.Args))
	for i, a := range c.Args {
		value, err := env.eval(ctx, a, s)
		if err != nil {
			return sql.Value{}, err
		}
		args[i] = value
	}
	return f.call(ctx, env, args)
}

func sleep(ctx context.Context, _ *Env, args []sql.Value) (sql.Value, error) {
	seconds, err := convert(args[0], sql.TypeFloat8)
	if err != nil || seconds.Null {
		return sql.Null(sql.TypeText), err
	}
	f, err := seconds.Float64()
	if err != nil {
		return sql.Value{}, err
	}
	const maxSeconds = 24 * 3600
	f = min(max(f, 0), maxSeconds)
	return sql.Text(""), state.Sleep(ctx, time.Duration(f*float64(time.Second)))
}

func currentSetting(_ context.Context, env *Env, args []sql.Value) (sql.Value, error) {
	value, ok := env.FunctionSession.Setting(strings.ToLower(args[0].Text))
	if !ok {
		return sql.Value{}, pgerror.New(pgerror.UndefinedObject, "unknown configuration parameter %q", args[0].Text)
	}
	return sql.Text(value), nil
}

func setConfig(_ context.Context, env *Env, args []sql.Value) (sql.Value, error) {
	local, err := convert(args[2], sql.TypeBool)
	if err != nil {
		return local, err
	}
	env.FunctionSession.SetSetting(strings.ToLower(args[0].Text), args[1].Text, local.True())
	return sql.Text(args[1].Text), nil
}

func inRecovery(_ context.Context, env *Env, _ []sql.Value) (sql.Value, error) {
	return sql.Bool(env.FunctionSession.InRecovery()), nil
}

func version(context.Context, *Env, []sql.Value) (sql.Value, error) {
	return sql.Text("PostgreSQL " + ServerVersion + " (stand-in)"), nil
}

func currentUser(_ context.Context, env *Env, _ []sql.Value) (sql.Value, error) {
	return sql.Text(env.FunctionSession.User()), nil
}

func now(context.Context, *Env, []sql.Value) (sql.Value, error) {
	return sql.Timestamp(time.Now()), nil
}

func processID(_ context.Context, env *Env, _ []sql.Value) (sql.Value, error) {
	return convert(sql.Int(int64(env.FunctionSession.ProcessID())), sql.TypeInt4)
}

func repeat(_ context.Context, _ *Env, args []sql.Value) (sql.Value, error) {
	if args[0].Null || args[1].Null {
		return sql.Null(sql.TypeText), nil
	}
	n, err := args[1].Int64()
	if err != nil {
		return sql.Value{}, pgerror.New(pgerror.InvalidValue, "%v", err)
	}
	n = max(n, 0)
	if n > 0 && int64(len(args[0].Text)) > maxRepeatBytes/n {
		return sql.Value{}, pgerror.New(pgerror.InvalidParameter, "repeat: result is longer than %d bytes", maxRepeatBytes)
	}
	return sql.Text(strings.Repeat(args[0].Text, int(n))), nil
}

func assignXID(_ context.Context, env *Env, _ []sql.Value) (sql.Value, error) {
	id, err := env.Txn.AssignXID()
	if err != nil {
		return sql.Value{}, err
	}
	return xidValue(id), nil
}

func assignedXID(_ context.Context, env *Env, _ []sql.Value) (sql.Value, error) {
	id := env.Txn.XID()
	if id == 0 {
		return sql.Null(sql.TypeXID8), nil
	}
	return xidValue(id), nil
}

func xidValue(id engine.XID) sql.Value {
	v := sql.Int(int64(id))
	v.Type = sql.TypeXID8
	return v
}

func xactStatus(_ context.Context, env *Env, args []sql.Value) (sql.Value, error) {
	id, err := convert(args[0], sql.TypeXID8)
	if err != nil || id.Null {
		return sql.Null(sql.TypeText), err
	}
	n, err := id.Int64()
	if err != nil {
		return sql.Value{}, err
	}
	status := env.DB.Status(engine.XID(n))
	if status == "" {
		return sql.Null(sql.TypeText), nil
	}
	return sql.Text(string(status)), nil
}
