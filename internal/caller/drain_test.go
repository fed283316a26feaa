package caller_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller"
)

// A statement that still runs at the end of a drain must not end without an answer: its
// caller is told that the outcome is unknown. One that ends in time gets its answer, and
// its session ends then.
func TestStatementsAreAnsweredAtTheEndOfADrain(t *testing.T) {
	for name, c := range map[string]struct {
		drainTimeout time.Duration
		want         string
	}{
		"it lasts longer": {50 * time.Millisecond, "EF08007"},
		"it ends in time": {5 * time.Second, "CZEF57P01"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			log := logrus.New()
			log.SetOutput(io.Discard)
			running, finish := make(chan struct{}), make(chan struct{})
			executor := &fakeExecutor{answer: func(w chervilladder.Work, b chervilladder.Batch) ([]chervilladder.Reply, error) {
				close(running)
				<-finish
				return answerAll(w, b)
			}}
			s, err := caller.New(caller.Config{Board: newBoard(), Executor: executor, Listener: l, Log: log, DrainTimeout: c.drainTimeout})
			is.NoErr(err)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			conn, f := signIn(t, l.Addr().String())
			f.Send(&pgproto3.Query{String: "INSERT INTO filings VALUES (1)"})
			is.NoErr(f.Flush())
			<-running
			stop()
			time.AfterFunc(300*time.Millisecond, func() { close(finish) })
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			out, err := io.ReadAll(conn)
			is.NoErr(err)
			is.Equal(messageTypes(out), c.want)
			is.NoErr(<-ended)
		})
	}
}
