package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// repeater is an upstream that can send its last answer a second time. The answer to each
// statement holds the number of the statement.
type repeater struct {
	conn       net.Conn
	backend    *pgproto3.Backend
	statements int
	status     byte
	// parameters are the parameter types of the unnamed statement.
	parameters []uint32
	// answer holds the messages that haven't been sent yet, last those that were sent for
	// the last request.
	answer, last [][]byte
	// early is how many messages of the next answer are sent before the repeated one;
	// less than none if nothing is repeated.
	early int
}

const repeatNothing = -1

// requestTimeout bounds a request of the test.
const requestTimeout = 2 * time.Second

func newRepeater(conn net.Conn) *repeater {
	return &repeater{conn: conn, backend: pgproto3.NewBackend(conn, conn), status: 'I', early: repeatNothing}
}

func (r *repeater) serve() {
	for {
		m, err := r.backend.Receive()
		if err != nil {
			return
		}
		r.handle(m)
	}
}

func (r *repeater) handle(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if m.Name == "" {
			r.parameters = append([]uint32(nil), m.ParameterOIDs...)
		}
		r.add(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		r.describe(m)
	case *pgproto3.Bind:
		r.add(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		r.add(&pgproto3.CloseComplete{})
	case *pgproto3.Execute:
		r.run()
	case *pgproto3.Query:
		r.add(description([]string{"n"}))
		r.run()
		r.add(&pgproto3.ReadyForQuery{TxStatus: r.status})
		r.flush()
	case *pgproto3.Flush:
		r.flush()
	case *pgproto3.Sync:
		r.add(&pgproto3.ReadyForQuery{TxStatus: r.status})
		r.flush()
	}
}

func (r *repeater) describe(m *pgproto3.Describe) {
	if m.Name != "" {
		r.add(&pgproto3.ParameterDescription{})
		r.add(description([]string{"n"}))
		return
	}
	r.add(&pgproto3.ParameterDescription{ParameterOIDs: r.parameters})
	r.add(&pgproto3.NoData{})
}

// run answers a statement with its number. In a failed transaction block, it answers with
// an error.
func (r *repeater) run() {
	if r.status == 'E' {
		r.add(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25P02", Message: "current transaction is aborted"})
		return
	}
	r.statements++
	r.add(&pgproto3.DataRow{Values: [][]byte{fmt.Append(nil, r.statements)}})
	r.add(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (r *repeater) add(m pgproto3.BackendMessage) {
	out, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	r.answer = append(r.answer, out)
}

func (r *repeater) flush() {
	answer := r.answer
	r.answer = nil
	if r.early >= 0 {
		early := min(r.early, len(answer)-1)
		r.write(answer[:early])
		r.write(r.last)
		r.write(answer[early:])
	} else {
		r.write(answer)
	}
	r.last = answer
}

func (r *repeater) write(messages [][]byte) {
	var out []byte
	for _, m := range messages {
		out = append(out, m...)
	}
	_, _ = r.conn.Write(out)
}

// runBatch runs a batch and returns the error with which its answer ends.
func runBatch(c *Conn, messages ...pgproto3.FrontendMessage) error {
	var b chervilladder.Batch
	for _, m := range messages {
		var err error
		if b.Payload, err = m.Encode(b.Payload); err != nil {
			return err
		}
	}
	if err := c.send(b); err != nil {
		return err
	}
	for {
		k, err := c.next(false)
		if err != nil || k.last {
			return err
		}
	}
}

// runExtended runs a batch of the extended protocol.
func runExtended(_ context.Context, c *Conn) error {
	return runBatch(c, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
}

// The second answer to one request, which arrives after the next one was sent, must not
// be taken for the answer to that.
func TestRepeatedAnswerIsNotTakenForTheNextOne(t *testing.T) {
	requests := map[string]struct {
		status byte
		run    func(ctx context.Context, c *Conn) error
	}{
		"simple batch":   {'I', func(_ context.Context, c *Conn) error { return runBatch(c, &pgproto3.Query{String: "SELECT 1"}) }},
		"extended batch": {'I', runExtended},
		"in a block":     {'T', runExtended},
		"failed block":   {'E', runExtended},
		"settings": {'I', func(ctx context.Context, c *Conn) error {
			c.settingsChanged = true
			return c.apply(ctx, nil)
		}},
		"claim": {'I', func(ctx context.Context, c *Conn) error { return c.bind(ctx, 7) }},
		"probe": {'I', func(_ context.Context, c *Conn) error {
			c.idleSince = time.Now().Add(-time.Minute)
			return c.probe()
		}},
		"transaction id before": {'T', func(_ context.Context, c *Conn) error {
			return c.queryTransaction(chervilladder.TransactionIDBefore)
		}},
		"transaction id within": {'I', func(ctx context.Context, c *Conn) error {
			if err := c.queryTransaction(chervilladder.TransactionIDWithin); err != nil {
				return err
			}
			return runExtended(ctx, c)
		}},
		"status": {'I', func(ctx context.Context, c *Conn) error {
			m := &Member{conn: c, columns: []string{"n"}}
			_, err := m.Status(ctx)
			return err
		}},
	}
	const inTheMiddle = 4
	for name, request := range requests {
		for _, early := range []int{0, inTheMiddle} {
			t.Run(fmt.Sprintf("%s/%d messages early", name, early), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				near, far := net.Pipe()
				c := newConn(chervilladder.Upstream{ID: "u"}, near)
				defer c.Close()
				server := newRepeater(far)
				server.status = request.status
				go server.serve()
				run := func(request func(context.Context, *Conn) error) error {
					c.setDeadline(time.Now().Add(requestTimeout))
					return request(ctx, c)
				}
				is.NoErr(run(request.run))
				is.NoErr(run(request.run)) // nothing is repeated yet
				server.early = early
				var lost *chervilladder.UpstreamLostError
				is.True(errors.As(run(request.run), &lost))
				is.True(errors.Is(run(runExtended), io.ErrClosedPipe)) // the connection is closed
			})
		}
	}
}
