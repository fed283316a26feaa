package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/control"
)

// modes are pgx's ways of executing a statement.
var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

func TestStatementsInAllModes(t *testing.T) {
	m := newMember(t, settings())
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			c := m.conn(func(cc *pgx.ConnConfig) { cc.DefaultQueryExecMode = mode })
			table := fmt.Sprintf("holds_%d", mode)
			insert := "INSERT INTO " + table + " (id, room, note) VALUES ($1, $2, $3) ON CONFLICT (id) DO NOTHING"
			is.Equal(exec(t, c, insert, "h1", "r1", "it's"), "INSERT 0 1")
			is.Equal(exec(t, c, insert, "h1", "r2", nil), "INSERT 0 0")
			is.Equal(exec(t, c, "INSERT INTO "+table+" (id, room) VALUES ('h2', 'r2'), ('h3', 'r1')"), "INSERT 0 2")
			is.Equal(exec(t, c, "INSERT INTO "+table+" (id, room) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET room = EXCLUDED.room", "h3", "r9"), "INSERT 0 1")
			is.Equal(queryValue[string](t, c, "SELECT room FROM "+table+" WHERE id = $1", "h3"), "r9")
			is.Equal(queryValue[*string](t, c, "SELECT note FROM "+table+" WHERE id = 'h2'"), nil)
			is.Equal(queryValue[string](t, c, "SELECT note FROM "+table+" WHERE id = 'h1'"), "it's")
			is.Equal(queryValue[int64](t, c, "SELECT count(*) FROM "+table+" WHERE room = $1", "r1"), int64(1))
			is.Equal(queryValue[string](t, c, "UPDATE "+table+" SET room = room || $2 WHERE id = $1 RETURNING room", "h1", "x"), "r1x")
			is.Equal(queryValue[string](t, c, "SELECT id FROM "+table+" ORDER BY id DESC LIMIT $1", 1), "h3")
			is.Equal(queryValue[string](t, c, "SELECT id FROM "+table+" ORDER BY 1 DESC LIMIT 1"), "h3")
			is.Equal(queryValue[string](t, c, "SELECT room AS place FROM "+table+" ORDER BY place DESC LIMIT 1"), "r9")
			is.Equal(exec(t, c, "DELETE FROM "+table+" WHERE id = $1 AND room = $2", "h1", "other"), "DELETE 0")
			is.Equal(exec(t, c, "DELETE FROM "+table+" WHERE id = $1", "h1"), "DELETE 1")
			is.Equal(queryValue[int32](t, c, "SELECT $1::int", 7), int32(7))
			is.Equal(queryValue[string](t, c, "SELECT $1::text", "x"), "x")
			is.Equal(queryValue[bool](t, c, "SELECT pg_is_in_recovery()"), false)
			is.Equal(queryValue[string](t, c, "SELECT current_user"), "clerk")
			is.True(time.Since(queryValue[time.Time](t, c, "SELECT now()")) < time.Minute)
			is.Equal(queryValue[int64](t, c, "SELECT count(*) FROM generate_series(1, $1)", 1000), int64(1000))
			is.Equal(queryValue[int64](t, c, "/* class=lookup */ SELECT 1 + 2 * 3 -- end"), int64(7))
		})
	}
}

func TestLargeResultIsWhole(t *testing.T) {
	is := is.New(t)
	c := newMember(t, settings()).conn()
	const rows = 200_000
	is.Equal(exec(t, c, "SELECT count(*) FROM generate_series(1, 3) LIMIT 0"), "SELECT 0")
	is.Equal(exec(t, c, "SELECT count(*) FROM nothing LIMIT 0"), "SELECT 0")
	for _, query := range []string{"SELECT * FROM generate_series(1, $1)", "SELECT generate_series(1, $1), repeat('x', 10)"} {
		r, err := c.Query(background, query, rows)
		is.NoErr(err)
		n := int32(0)
		for r.Next() {
			n++
			values, err := r.Values()
			is.NoErr(err)
			is.Equal(values[0], n)
		}
		is.NoErr(r.Err())
		is.Equal(n, int32(rows))
	}
}

func TestBatchIsOneTransaction(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	c := m.conn()
	b := &pgx.Batch{}
	b.Queue("INSERT INTO holds (id) VALUES ('h1')")
	b.Queue("INSERT INTO holds (id) VALUES ('h1')")
	b.Queue("INSERT INTO holds (id) VALUES ('h2')")
	is.Equal(code(c.SendBatch(background, b).Close()), "23505")
	is.Equal(m.status().Received, m.status().Replayed)
	is.Equal(queryValue[int64](t, c, "SELECT count(*) FROM holds"), int64(0))
	exec(t, c, "INSERT INTO holds (id) VALUES ('h1'); INSERT INTO holds (id) VALUES ('h2')", pgx.QueryExecModeSimpleProtocol)
	is.Equal(queryValue[int64](t, c, "SELECT count(*) FROM holds"), int64(2))
	is.Equal(int(m.status().Received), 1)
}

func TestPortalIsSuspended(t *testing.T) {
	is := is.New(t)
	c := newMember(t, settings()).conn()
	exec(t, c, "BEGIN")
	f := c.PgConn().Frontend()
	sendParseAndBind(f, "SELECT * FROM generate_series(1, 5)")
	sendExecute(f, 2)
	sendExecute(f, 2)
	sendExecute(f, 2)
	sendSync(f)
	is.NoErr(f.Flush())
	is.Equal(receiveAll(t, f), "1 2 D D s D D s D C(SELECT 5) Z(T)")
}

func TestErrorSkipsToSync(t *testing.T) {
	is := is.New(t)
	c := newMember(t, settings()).conn()
	f := c.PgConn().Frontend()
	sendParseAndBind(f, "SELEC 1")
	sendExecute(f, 0)
	sendSync(f)
	sendParseAndBind(f, "SELECT 1")
	sendExecute(f, 0)
	sendSync(f)
	is.NoErr(f.Flush())
	is.Equal(receiveAll(t, f), "E(42601) Z(I)")
	is.Equal(receiveAll(t, f), "1 2 D C(SELECT 1) Z(I)")
}

func TestErrors(t *testing.T) {
	m := newGroup(t, settings())
	c := m["a"].conn(func(cc *pgx.ConnConfig) { cc.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol })
	exec(t, c, "INSERT INTO holds (id) VALUES ('h1')")
	for sql, want := range map[string]string{
		"INSERT INTO holds (id) VALUES ('h1')":               "23505",
		"INSERT INTO holds (id) VALUES (NULL)":               "23502",
		"INSERT INTO holds (room) VALUES ('r1')":             "23502",
		"SELECT 'x'::int":                                    "22P02",
		"SELECT 1 / 0":                                       "22012",
		"SELECT nothing(1)":                                  "42883",
		"SHOW nothing":                                       "42704",
		"SELECT DISTINCT id FROM holds":                      "42601",
		"SELECT id FROM holds ORDER BY 2":                    "42P10",
		"SELECT * FROM generate_series(1, 2) ORDER BY 1":     "0A000",
		"CREATE TABLE t (id text)":                           "42601",
		"SELECT 'open":                                       "42601",
		"BEGIN READ ONLY; INSERT INTO holds (id) VALUES (1)": "25006",
		// A table that has never been written to is empty.
		"SELECT room FROM nothing WHERE id = 'x'": "",
	} {
		t.Run(sql, func(t *testing.T) {
			is := is.New(t)
			_, err := c.Exec(background, sql)
			if want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(code(err), want)
			exec(t, c, "ROLLBACK")
		})
	}
	is := is.New(t)
	_, err := c.Exec(background, "SELECT 'ü' FROM WHERE")
	var pg *pgconn.PgError
	is.True(errors.As(err, &pg))
	is.Equal(pg.Position, int32(17))
}

func TestTransactions(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	a, b := m.conn(), m.conn()
	exec(t, a, "BEGIN")
	exec(t, a, "INSERT INTO holds (id, room) VALUES ('h1', 'r1')")
	is.Equal(queryValue[int64](t, a, "SELECT count(*) FROM holds"), int64(1))
	is.Equal(queryValue[int64](t, b, "SELECT count(*) FROM holds"), int64(0))
	xid := queryValue[string](t, a, "SELECT pg_current_xact_id()::text")
	is.Equal(queryValue[string](t, b, "SELECT pg_xact_status($1::xid8)", xid), "in progress")
	exec(t, a, "SAVEPOINT s")
	_, err := a.Exec(background, "INSERT INTO holds (id) VALUES ('h1')")
	is.Equal(code(err), "23505")
	_, err = a.Exec(background, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	is.Equal(code(err), "25P02")
	_, err = callGroup(a, "group_status()") // Group functions run outside transactions.
	is.NoErr(err)
	exec(t, a, "ROLLBACK TO s")
	exec(t, a, "COMMIT")
	is.Equal(queryValue[string](t, b, "SELECT pg_xact_status($1)", xid), "committed")
	is.Equal(queryValue[int64](t, b, "SELECT count(*) FROM holds"), int64(1))
	is.Equal(queryValue[*string](t, b, "SELECT pg_current_xact_id_if_assigned()::text"), nil)

	exec(t, a, "BEGIN")
	exec(t, a, "DELETE FROM holds WHERE id = 'h1'")
	xid = queryValue[string](t, a, "SELECT pg_current_xact_id()::text")
	exec(t, a, "ROLLBACK")
	is.Equal(queryValue[string](t, b, "SELECT pg_xact_status($1)", xid), "aborted")
	is.Equal(queryValue[int64](t, b, "SELECT count(*) FROM holds"), int64(1))
}

func TestRowLocksWaitAndDeadlocksEnd(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	a, b := m.conn(), m.conn()
	exec(t, a, "INSERT INTO holds (id, n) VALUES ('h1', '0'), ('h2', '0')")
	exec(t, a, "BEGIN")
	exec(t, b, "BEGIN")
	exec(t, a, "UPDATE holds SET n = n + 1 WHERE id = 'h1'")
	exec(t, b, "SELECT * FROM holds WHERE id = 'h2' FOR UPDATE")
	bResult := make(chan error, 1)
	go func() {
		_, err := b.Exec(background, "UPDATE holds SET n = n + 1 WHERE id = 'h1'")
		bResult <- err
	}()
	m.await("b runs", func(s control.Status) bool { return s.Running == 1 })
	_, err := a.Exec(background, "UPDATE holds SET n = n + 1 WHERE id = 'h2'")
	if err == nil { // The transaction that waits last, and so closes the cycle, fails.
		err = <-bResult
		is.Equal(code(err), "40P01")
		return
	}
	is.Equal(code(err), "40P01")
	exec(t, a, "ROLLBACK")
	is.NoErr(<-bResult)
	exec(t, b, "COMMIT")
	is.Equal(queryValue[string](t, a, "SELECT n FROM holds WHERE id = 'h1'"), "1")
}

func TestCancelAndTimeout(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	c := m.conn()
	for _, sql := range []string{"SELECT pg_sleep(3600)", "UPDATE holds SET room = 'x' WHERE id = 'h1'"} {
		holder := m.conn()
		exec(t, holder, "BEGIN")
		exec(t, holder, "INSERT INTO holds (id) VALUES ('h1') ON CONFLICT DO NOTHING")
		exec(t, holder, "COMMIT; BEGIN; DELETE FROM holds WHERE id = 'h1'", pgx.QueryExecModeSimpleProtocol)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Exec(background, sql)
			ended <- err
		}()
		m.await("statement runs", func(s control.Status) bool { return s.Running == 1 })
		is.NoErr(c.PgConn().CancelRequest(background))
		is.Equal(code(<-ended), "57014")
		exec(t, holder, "ROLLBACK")
	}
	exec(t, c, "SET statement_timeout = '20ms'")
	_, err := c.Exec(background, "SELECT pg_sleep(3600)")
	is.Equal(code(err), "57014")
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	m := newMember(t, settings())
	c := m.conn(func(cc *pgx.ConnConfig) { cc.RuntimeParams["application_name"] = "portal" })
	is.Equal(c.PgConn().ParameterStatus("server_version"), "16.0")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "portal")
	exec(t, c, "SET application_name = 'desk'; SET my.tag TO 'x'", pgx.QueryExecModeSimpleProtocol)
	is.Equal(c.PgConn().ParameterStatus("application_name"), "desk")
	is.Equal(queryValue[string](t, c, "SHOW my.tag"), "x")
	exec(t, c, "BEGIN")
	exec(t, c, "SET LOCAL my.tag = 'y'")
	is.Equal(queryValue[string](t, c, "SELECT current_setting('my.tag')"), "y")
	exec(t, c, "COMMIT")
	is.Equal(queryValue[string](t, c, "SHOW my.tag"), "x")
	exec(t, c, "BEGIN; SET my.tag = 'z'; ROLLBACK", pgx.QueryExecModeSimpleProtocol)
	is.Equal(queryValue[string](t, c, "SHOW my.tag"), "x")
	exec(t, c, "DISCARD ALL")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "portal")
}

func TestSlotsAndConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.Slots, s.Connections, s.Reserved = 1, 2, 1
	m := newMember(t, s)
	busy, queued := m.conn(), m.conn()
	_, err := m.connect("clerk")
	is.Equal(code(err), "53300")
	reserved, err := m.connect("control")
	is.NoErr(err)
	defer closeConn(reserved)

	ctx, cancel := context.WithCancel(background)
	ended := make(chan error, 2)
	for _, c := range []*pgx.Conn{busy, queued} {
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(3600)")
			ended <- err
		}()
	}
	m.await("one statement waits for a slot", func(s control.Status) bool { return s.Running == 1 && s.QueueLength == 1 })
	status, err := callGroup(reserved, "group_status()")
	is.NoErr(err)
	is.Equal([]int64{status.Slots, status.Connections}, []int64{1, 3})
	m.post("/slots?value=2")
	m.await("no statement waits for a slot", func(s control.Status) bool { return s.Running == 2 && s.QueueLength == 0 && s.MaxQueueLength == 1 })
	cancel()
	is.True(<-ended != nil)
	is.True(<-ended != nil)
}
