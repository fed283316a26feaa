package scenario_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestCancel cancels running statements, through the VM that issued the cancel key
// and through the other one.
func TestCancel(t *testing.T) {
	w := conformanceWorld(t)
	for _, entry := range w.vms {
		for _, through := range w.vms {
			t.Run(entry+"/"+through, func(t *testing.T) {
				is := is.New(t)
				c := dial(t, w, entry, pgx.QueryExecModeCacheStatement)
				for _, sql := range []string{"SELECT pg_sleep(8)", "UPDATE conform SET note = pg_sleep(8) WHERE id = 'c'", "SELECT pg_sleep(8) FROM conform WHERE id = 'c' FOR UPDATE"} {
					_, err := c.Exec(t.Context(), "INSERT INTO conform (id) VALUES ('c') ON CONFLICT DO NOTHING")
					is.NoErr(err)
					failed := make(chan error, 1)
					go func() {
						_, err := c.Exec(t.Context(), sql)
						failed <- err
					}()
					is.Equal(sqlState(cancelUntil(t, w.callerAddresses[through], c.PgConn(), failed)), "57014")
					var one int
					is.NoErr(c.QueryRow(t.Context(), "SELECT 1").Scan(&one))
				}
			})
		}
		t.Run(entry+"/context", func(t *testing.T) {
			is := is.New(t)
			c := dial(t, w, entry, pgx.QueryExecModeCacheStatement)
			ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer stop()
			_, err := c.Exec(ctx, "SELECT pg_sleep(8)")
			is.Equal(sqlState(err), "57014")
			is.NoErr(c.Ping(t.Context()))
		})
	}
}

// cancelUntil repeats a cancel request until the statement has ended, since a
// request that arrives before the statement is ignored.
func cancelUntil(t *testing.T, address string, c *pgconn.PgConn, failed <-chan error) error {
	t.Helper()
	for {
		if err := sendCancel(address, c.PID(), c.SecretKey()); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-failed:
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func sendCancel(address string, process uint32, secret []byte) error {
	out, err := (&pgproto3.CancelRequest{ProcessID: process, SecretKey: secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Write(out)
	return err
}

// TestCancelWaiting cancels a statement that waits for a slot: it is rejected as
// not run.
func TestCancelWaiting(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			is := is.New(t)
			var blocking []pgx.Tx
			for range 3 {
				tx, err := dial(t, w, vm, pgx.QueryExecModeCacheStatement).Begin(t.Context())
				is.NoErr(err)
				blocking = append(blocking, tx)
			}
			c := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
			failed := make(chan error, 1)
			go func() {
				_, err := c.Exec(t.Context(), "INSERT INTO conform (id) VALUES ($1)", key(t, "waiting"))
				failed <- err
			}()
			err := cancelUntil(t, w.callerAddresses[vm], c.PgConn(), failed)
			is.Equal(sqlState(err), "57014")
			is.Equal(outcomeOf(err), outcomeNotRun)
			for _, tx := range blocking {
				is.NoErr(tx.Rollback(t.Context()))
			}
			var n int
			is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM conform WHERE id = $1 FOR UPDATE", key(t, "waiting")).Scan(&n))
			is.Equal(n, 0)
		})
	}
}

// TestCancelledConnectionIsNotReused checks that no later work runs on the
// connection of a cancelled statement, where a late cancel request would cancel it.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
			tx, err := c.Begin(t.Context())
			is.NoErr(err)
			cancelled := processOf(t, tx)
			failed := make(chan error, 1)
			go func() {
				_, err := tx.Exec(t.Context(), "SELECT pg_sleep(8)")
				failed <- err
			}()
			is.Equal(sqlState(cancelUntil(t, w.callerAddresses[vm], c.PgConn(), failed)), "57014")
			is.NoErr(tx.Rollback(t.Context()))
			for range 10 {
				tx, err := dial(t, w, vm, pgx.QueryExecModeCacheStatement).Begin(t.Context())
				is.NoErr(err)
				is.True(processOf(t, tx) != cancelled)
				is.NoErr(tx.Rollback(t.Context()))
			}
		})
	}
}

// processOf returns the process id of the upstream's session that runs a transaction.
func processOf(t *testing.T, tx pgx.Tx) int32 {
	t.Helper()
	var process int32
	is.New(t).NoErr(tx.QueryRow(t.Context(), "SELECT pg_backend_pid()").Scan(&process))
	return process
}
