package caller_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller"
)

// TestLostTransactionEndsConnection checks that the loss of a transaction ends
// the connection, so that the caller can't continue as if it were open.
func TestLostTransactionEndsConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		code   string
		detail string
	}{
		{"rolled back", &chervilladder.NotRunError{Reason: chervilladder.ReasonRolledBack}, "40003", "outcome: not-run"},
		{"unknown", &chervilladder.UnknownError{}, "08007", "outcome: unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := &fakeExecutor{}
			x.answer = func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
				if len(x.batches) > 1 {
					return nil, c.err
				}
				return []chervilladder.Reply{completed("BEGIN", 'T')}, nil
			}
			_, f := signIn(t, serve(t, caller.Config{Executor: x}))
			f.Send(&pgproto3.Query{String: "BEGIN"})
			f.Send(&pgproto3.Query{String: "COMMIT"})
			is.NoErr(f.Flush())
			awaitReady(t, f)
			m, err := f.Receive()
			is.NoErr(err)
			e := m.(*pgproto3.ErrorResponse)
			is.Equal(e.Severity, "FATAL")
			is.Equal(e.Code, c.code)
			is.True(strings.HasPrefix(e.Detail, c.detail))
			_, err = f.Receive()
			is.True(err != nil) // the connection has ended
		})
	}
}
