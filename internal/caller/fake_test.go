package caller_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/caller"
)

const (
	ledger   chervilladder.DatabaseID = "ledger"
	registry chervilladder.ServiceID  = "registry"
	filing   chervilladder.ClassID    = "filing"
)

// answerFunc returns the replies to a batch.
type answerFunc func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error)

// fakeExecutor answers each batch by a function and records the work and the
// batches that it receives.
type fakeExecutor struct {
	answer answerFunc
	// discards disables the recording.
	discards bool

	mu    sync.Mutex
	works []chervilladder.Work
	// batches are those that were sent, in order.
	batches []chervilladder.Batch
	closed  chan struct{}
}

func (f *fakeExecutor) Open(_ context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.discards {
		f.works = append(f.works, w)
	}
	return &fakeExchange{executor: f, work: w}, nil
}

type fakeExchange struct {
	executor *fakeExecutor
	work     chervilladder.Work
	replies  []chervilladder.Reply
	err      error
}

func (x *fakeExchange) Send(b chervilladder.Batch) error {
	x.executor.mu.Lock()
	defer x.executor.mu.Unlock()
	if !x.executor.discards {
		b.Payload = append([]byte(nil), b.Payload...)
		x.executor.batches = append(x.executor.batches, b)
	}
	x.replies, x.err = x.executor.answer(x.work, b)
	return nil
}

func (x *fakeExchange) Recv() (chervilladder.Reply, error) {
	if len(x.replies) == 0 {
		return chervilladder.Reply{}, x.err
	}
	r := x.replies[0]
	x.replies = x.replies[1:]
	return r, nil
}

func (x *fakeExchange) Cancel() {}

func (x *fakeExchange) Close() {
	select {
	case x.executor.closed <- struct{}{}:
	default:
	}
}

// newBoard returns a blackboard with one service that has one class.
func newBoard() *blackboard.Board {
	b := blackboard.New(chervilladder.VM{ID: "vm-1"})
	class := &chervilladder.Class{ID: filing, Target: time.Minute, Deadline: time.Minute}
	b.Catalogue.Store(&chervilladder.Catalogue{
		Services: map[chervilladder.ServiceID]*chervilladder.Service{
			registry: {ID: registry, DefaultClass: filing, Classes: map[chervilladder.ClassID]*chervilladder.Class{filing: class}},
		},
		Databases: map[chervilladder.DatabaseID]*chervilladder.Database{ledger: {ID: ledger, Service: registry}},
	})
	return b
}

// serve runs a server until the test ends and returns its address.
func serve(t testing.TB, c caller.Config) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Board, c.Listener, c.Log = newBoard(), l, log
	c.DrainTimeout = time.Millisecond
	s, err := caller.New(c)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return l.Addr().String()
}

// signIn opens a connection and reads up to the first ReadyForQuery.
func signIn(t testing.TB, address string) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "clerk", "database": string(ledger)},
	})
	is.NoErr(f.Flush())
	awaitReady(t, f)
	return c, f
}

// awaitReady reads up to a ReadyForQuery and returns the messages before it.
func awaitReady(t testing.TB, f *pgproto3.Frontend) []pgproto3.BackendMessage {
	t.Helper()
	var list []pgproto3.BackendMessage
	for {
		m, err := f.Receive()
		is.New(t).NoErr(err)
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return list
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			copied := *e
			m = &copied
		}
		list = append(list, m)
	}
}

// encode encodes messages of an upstream.
func encode(messages ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

func completed(tag string, status byte) chervilladder.Reply {
	return chervilladder.Reply{
		Payload: encode(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, &pgproto3.ReadyForQuery{TxStatus: status}),
		Last:    true,
		Open:    status != 'I',
	}
}
