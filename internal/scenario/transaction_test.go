package scenario_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestSettingsAreRolledBack checks that a caller's settings are rolled back
// with the transaction or savepoint that made them.
func TestSettingsAreRolledBack(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol, "options", "-c statement_timeout=1s")
			steps := []struct{ sql, want string }{
				{"SET statement_timeout = '2s'", "2s"},
				{"BEGIN; SET statement_timeout = '3s'; ROLLBACK", "2s"},
				{"BEGIN; SET statement_timeout = '4s'; COMMIT", "4s"},
				{"BEGIN; SET statement_timeout = '5s'; SAVEPOINT a; SET statement_timeout = '6s'; ROLLBACK TO a; COMMIT", "5s"},
				{"BEGIN; SAVEPOINT a; SET statement_timeout = '7s'; RELEASE a; COMMIT", "7s"},
				{"BEGIN; SET LOCAL statement_timeout = '8s'; COMMIT", "7s"},
				{"RESET statement_timeout", "1s"},
			}
			for _, s := range steps {
				for _, statement := range strings.Split(s.sql, "; ") {
					_, err := c.Exec(t.Context(), statement)
					is.NoErr(err)
				}
				is.Equal(settingOnPrimary(t, c, "statement_timeout"), s.want) // after the statements of the step
			}
		})
	}
}

// TestReadOnlyTransactionStaysReadOnly checks that a read-only transaction can't be
// changed to read-write.
func TestReadOnlyTransactionStaysReadOnly(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		for _, change := range []string{"SET TRANSACTION READ WRITE", "SET LOCAL transaction_read_only = off"} {
			t.Run(vm+"/"+change, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				c := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
				_, err := c.Exec(ctx, "BEGIN READ ONLY")
				is.NoErr(err)
				_, err = c.Exec(ctx, change)
				is.Equal(sqlState(err), "0A000")
			})
		}
	}
}

// TestSearchPathIsReapplied checks that a list of schemas stays a list when it is
// applied to the next upstream connection that the session uses.
func TestSearchPathIsReapplied(t *testing.T) {
	w := conformanceWorld(t)
	for _, vm := range w.vms {
		t.Run(vm, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, w, vm, pgx.QueryExecModeSimpleProtocol)
			_, err := c.Exec(t.Context(), `SET search_path = "My Schema", public`)
			is.NoErr(err)
			is.Equal(settingOnPrimary(t, c, "search_path"), `"My Schema", public`)
		})
	}
}
