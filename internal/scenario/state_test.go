package scenario_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestSettingsDoNotLeak checks that one caller's settings don't apply to the next
// caller on the same connection to the primary.
func TestSettingsDoNotLeak(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			a := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
			_, err := a.Exec(ctx, "SET statement_timeout = '1234ms'")
			is.NoErr(err)
			b := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
			for range 4 {
				is.True(!strings.Contains(settingOnPrimary(t, b, "statement_timeout"), "1234"))
			}
			is.True(strings.Contains(settingOnPrimary(t, a, "statement_timeout"), "1234"))
		})
	}
}

// settingOnPrimary shows a parameter within a transaction that may write.
func settingOnPrimary(t *testing.T, c *pgx.Conn, name string) string {
	t.Helper()
	is := is.New(t)
	tx, err := c.Begin(t.Context())
	is.NoErr(err)
	var value string
	is.NoErr(tx.QueryRow(t.Context(), "SHOW "+name).Scan(&value))
	is.NoErr(tx.Rollback(t.Context()))
	return value
}

// TestLongTransaction checks that a transaction may last longer than the deadline
// of its class, which bounds each statement.
func TestLongTransaction(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx := t.Context()
			c := dial(t, w, vm, pgx.QueryExecModeCacheStatement)
			tx, err := c.Begin(ctx)
			is.NoErr(err)
			for range 2 {
				sleep(ctx, 6*time.Second)
				_, err = tx.Exec(ctx, "SELECT 1")
				is.NoErr(err)
			}
			_, err = tx.Exec(ctx, "INSERT INTO conform (id) VALUES ($1)", key(t, "a"))
			is.NoErr(err)
			is.NoErr(tx.Commit(ctx))
		})
	}
}
