package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgconn/ctxwatch"
	"github.com/jackc/pgx/v5/pgxpool"
	"github.com/matryer/is"
)

// TestConformance runs plain pgx through two VMs: one owns the database, the other
// one forwards to it.
func TestConformance(t *testing.T) {
	w := conformanceWorld(t)
	cases := []struct {
		name string
		run  func(*testing.T, *world, string)
	}{
		{"modes", conformModes},
		{"errors", conformErrors},
		{"batch", conformBatch},
		{"multi-statement", conformMultiStatement},
		{"pipeline", conformPipeline},
		{"transactions", conformTransactions},
		{"savepoints", conformSavepoints},
		{"read-only", conformReadOnly},
		{"large", conformLarge},
		{"pool", conformPool},
		{"many statements", conformManyStatements},
	}
	for _, vm := range w.vms {
		for _, c := range cases {
			t.Run(vm+"/"+c.name, func(t *testing.T) { c.run(t, w, vm) })
		}
	}
}

// conformanceWorld starts the processes and waits until each VM serves.
func conformanceWorld(t *testing.T) *world {
	t.Helper()
	is := is.New(t)
	service, err := os.ReadFile("testdata/service.json")
	is.NoErr(err)
	w, err := newWorld(t.TempDir(), binaries, worldConfig{
		vms: 2, upstreams: 3, slots: 3, lag: "5ms", statementTime: "1ms", service: string(service),
	})
	is.NoErr(err)
	t.Cleanup(func() {
		w.stop()
		if t.Failed() {
			t.Log(w.logs())
		}
	})
	for _, vm := range w.vms {
		is.NoErr(w.awaitServing(vm))
	}
	return w
}

// dial opens a connection with start-up parameters and a query mode.
func dial(t *testing.T, w *world, vm string, mode pgx.QueryExecMode, parameters ...string) *pgx.Conn {
	t.Helper()
	is := is.New(t)
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", w.callerAddresses[vm], database))
	is.NoErr(err)
	config.DefaultQueryExecMode = mode
	for i := 0; i < len(parameters); i += 2 {
		config.RuntimeParams[parameters[i]] = parameters[i+1]
	}
	config.BuildContextWatcherHandler = cancelOnContext
	c, err := pgx.ConnectConfig(t.Context(), config)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// cancelOnContext makes a connection send a cancel request once a context
// ends, instead of closing the connection.
func cancelOnContext(c *pgconn.PgConn) ctxwatch.Handler {
	return &pgconn.CancelRequestContextWatcherHandler{Conn: c, DeadlineDelay: waitTimeout}
}

// key returns an id that no other test uses.
func key(t *testing.T, name string) string {
	return strings.ReplaceAll(t.Name(), "/", "-") + "-" + name
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement,
	pgx.QueryExecModeCacheDescribe,
	pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec,
	pgx.QueryExecModeSimpleProtocol,
}

func conformModes(t *testing.T, w *world, vm string) {
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			c := dial(t, w, vm, mode)
			for i := range 3 {
				id := key(t, fmt.Sprint(i))
				tag, err := c.Exec(ctx, "INSERT INTO conform (id, note) VALUES ($1, $2)", id, nil)
				is.NoErr(err)
				is.Equal(tag.String(), "INSERT 0 1")
				var note *string
				is.NoErr(c.QueryRow(ctx, "SELECT note FROM conform WHERE id = $1", id).Scan(&note))
				is.Equal(note, nil)
				_, err = c.Exec(ctx, "UPDATE conform SET note = $2 WHERE id = $1", id, "café")
				is.NoErr(err)
				is.NoErr(c.QueryRow(ctx, "SELECT note FROM conform WHERE id = $1", id).Scan(&note))
				is.Equal(*note, "café")
			}
		})
	}
}

func conformErrors(t *testing.T, w *world, vm string) {
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			c := dial(t, w, vm, mode)
			id := key(t, "a")
			_, err := c.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", id)
			is.NoErr(err)
			_, err = c.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", id)
			is.Equal(sqlState(err), "23505")
			var e *pgconn.PgError
			is.True(errors.As(err, &e))
			is.Equal(e.Severity, "ERROR")
			_, err = c.Exec(ctx, "SELECT id FRUM conform WHERE id = $1", id)
			is.Equal(sqlState(err), "42601")
			is.True(errors.As(err, &e))
			is.True(e.Position > 0)
			_, err = c.Exec(ctx, "SELECT 1/0")
			is.Equal(sqlState(err), "22012")
			var n int
			is.NoErr(c.QueryRow(ctx, "SELECT count(*) FROM conform WHERE id = $1", id).Scan(&n))
			is.Equal(n, 1)
		})
	}
}

func conformBatch(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	for range 2 {
		b := &pgx.Batch{}
		for i := range 20 {
			b.Queue("INSERT INTO conform (id, note) VALUES ($1, $2) ON CONFLICT DO NOTHING", key(t, fmt.Sprint(i)), "x")
		}
		b.Queue("SELECT count(*) FROM conform WHERE id = $1", key(t, "3"))
		r := c.SendBatch(ctx, b)
		for range 20 {
			_, err := r.Exec()
			is.NoErr(err)
		}
		var n int
		is.NoErr(r.QueryRow().Scan(&n))
		is.Equal(n, 1)
		is.NoErr(r.Close())
	}
	b := &pgx.Batch{}
	b.Queue("INSERT INTO conform (id) VALUES ($1)", key(t, "rolled-back"))
	b.Queue("INSERT INTO conform (id) VALUES ($1)", key(t, "3"))
	is.Equal(sqlState(c.SendBatch(ctx, b).Close()), "23505")
	var n int
	is.NoErr(c.QueryRow(ctx, "SELECT count(*) FROM conform WHERE id = $1", key(t, "rolled-back")).Scan(&n))
	is.Equal(n, 0)
}

// conformMultiStatement checks that each statement of a simple query gets its own
// CommandComplete, also where that message, which the proxy keeps back until the next
// one, is longer than the row before it.
func conformMultiStatement(t *testing.T, w *world, vm string) {
	is := is.New(t)
	c := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
	id := key(t, "a")
	sql := fmt.Sprintf("SELECT 1; INSERT INTO conform (id) VALUES ('%s'); UPDATE conform SET note = 'x' WHERE id = '%s'; SELECT note FROM conform WHERE id = '%s'; DELETE FROM conform WHERE id = '%s'; SET statement_timeout = 0", id, id, id, id)
	for range 5 {
		results, err := c.PgConn().Exec(t.Context(), sql).ReadAll()
		is.NoErr(err)
		var tags []string
		for _, r := range results {
			tags = append(tags, r.CommandTag.String())
		}
		is.Equal(tags, []string{"SELECT 1", "INSERT 0 1", "UPDATE 1", "SELECT 1", "DELETE 1", "SET"})
		is.Equal(string(results[3].Rows[0][0]), "x")
	}
}

// conformPipeline sends statements before the answers to earlier ones arrive.
func conformPipeline(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement).PgConn()
	p := c.StartPipeline(ctx)
	p.SendPrepare("named", "SELECT note FROM conform WHERE id = $1", nil)
	is.NoErr(p.Sync())
	for i := range 3 {
		p.SendQueryParams("INSERT INTO conform (id, note) VALUES ($1, $2)", [][]byte{[]byte(key(t, fmt.Sprint(i))), []byte("n")}, nil, nil, nil)
		p.SendQueryPrepared("named", [][]byte{[]byte(key(t, fmt.Sprint(i)))}, nil, nil)
		is.NoErr(p.Sync())
	}
	var values []string
	for {
		r, err := p.GetResults()
		is.NoErr(err)
		if r == nil {
			break
		}
		if reader, ok := r.(*pgconn.ResultReader); ok {
			got := reader.Read()
			is.NoErr(got.Err)
			for _, row := range got.Rows {
				values = append(values, string(row[0]))
			}
		}
	}
	is.NoErr(p.Close())
	is.Equal(values, []string{"n", "n", "n"})
	is.NoErr(c.Deallocate(ctx, "named"))
	_, err := c.Prepare(ctx, "named", "SELECT id FROM conform WHERE id = $1", nil)
	is.NoErr(err)
}

func conformTransactions(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	tx, err := c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "a"))
	is.NoErr(err)
	is.NoErr(tx.Rollback(ctx))
	tx, err = c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "b"))
	is.NoErr(err)
	is.NoErr(tx.Commit(ctx))
	tx, err = c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "b"))
	is.Equal(sqlState(err), "23505")
	_, err = tx.Exec(ctx, "SELECT 1")
	is.Equal(sqlState(err), "25P02")
	is.True(errors.Is(tx.Commit(ctx), pgx.ErrTxCommitRollback))
	var n int
	is.NoErr(c.QueryRow(ctx, "SELECT count(*) FROM conform WHERE id IN ($1, $2)", key(t, "a"), key(t, "b")).Scan(&n))
	is.Equal(n, 1)
}

func conformSavepoints(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	tx, err := c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "a"))
	is.NoErr(err)
	inner, err := tx.Begin(ctx)
	is.NoErr(err)
	_, err = inner.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "a"))
	is.Equal(sqlState(err), "23505")
	is.NoErr(inner.Rollback(ctx))
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "b"))
	is.NoErr(err)
	is.NoErr(tx.Commit(ctx))
	var n int
	is.NoErr(c.QueryRow(ctx, "SELECT count(*) FROM conform WHERE id IN ($1, $2)", key(t, "a"), key(t, "b")).Scan(&n))
	is.Equal(n, 2)
}

// conformReadOnly checks that a read-only transaction can't write, whichever member
// it runs on.
func conformReadOnly(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	tx, err := c.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	is.NoErr(err)
	var n int
	is.NoErr(tx.QueryRow(ctx, "SELECT count(*) FROM conform").Scan(&n))
	_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "a"))
	is.Equal(sqlState(err), "25006")
	is.NoErr(tx.Rollback(ctx))
}

// conformLarge reads a result larger than any buffer, and closes one before all of
// its rows are read.
func conformLarge(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	rows, err := c.Query(ctx, "SELECT i, repeat('x', 200) FROM generate_series(1, 50000) i")
	is.NoErr(err)
	n := 0
	for rows.Next() {
		n++
	}
	is.NoErr(rows.Err())
	is.Equal(n, 50000)
	rows, err = c.Query(ctx, "SELECT i, repeat('x', 200) FROM generate_series(1, 50000) i")
	is.NoErr(err)
	is.True(rows.Next())
	rows.Close()
	is.NoErr(rows.Err())
	is.NoErr(c.Ping(ctx))
}

func conformPool(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	p, err := pgxpool.New(ctx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable&pool_max_conns=8", w.callerAddresses[vm], database))
	is.NoErr(err)
	defer p.Close()
	done := make(chan error)
	for i := range 16 {
		go func() {
			id := key(t, fmt.Sprint(i))
			_, err := p.Exec(ctx, "INSERT INTO conform (id, note) VALUES ($1, $2)", id, id)
			if err != nil {
				done <- err
				return
			}
			var note string
			err = p.QueryRow(ctx, "SELECT note FROM conform WHERE id = $1", id).Scan(&note)
			if err == nil && note != id {
				err = fmt.Errorf("read %q for %q", note, id)
			}
			done <- err
		}()
	}
	for range 16 {
		is.NoErr(<-done)
	}
}

// conformManyStatements prepares more statements than a connection to an upstream
// caches, and reuses their names for other statements.
func conformManyStatements(t *testing.T, w *world, vm string) {
	is := is.New(t)
	ctx := t.Context()
	c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
	const statements = 600
	for _, offset := range []int{0, 1000} {
		for i := range statements {
			_, err := c.Prepare(ctx, fmt.Sprintf("s%d", i), fmt.Sprintf("SELECT %d", i+offset))
			is.NoErr(err)
		}
		for i := range statements {
			var n int
			is.NoErr(c.QueryRow(ctx, fmt.Sprintf("s%d", i)).Scan(&n))
			is.Equal(n, i+offset)
			is.NoErr(c.Deallocate(ctx, fmt.Sprintf("s%d", i)))
		}
	}
}
