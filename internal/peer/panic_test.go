package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// panicking is an executor whose exchanges panic while they run a batch.
type panicking struct{ closed chan struct{} }

func (p panicking) Open(context.Context, chervilladder.Work) (chervilladder.Exchange, error) {
	return panickingExchange(p), nil
}

type panickingExchange struct{ closed chan struct{} }

func (x panickingExchange) Send(chervilladder.Batch) error     { return nil }
func (x panickingExchange) Recv() (chervilladder.Reply, error) { panic("injected") }
func (x panickingExchange) Cancel()                            {}
func (x panickingExchange) Close()                             { x.closed <- struct{}{} }
func (x panickingExchange) ReachablePrimary(context.Context, chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	panic("injected")
}

// connect starts a server of vm-1, and returns a client of vm-2 and the server's board.
func connect(t *testing.T, c ServerConfig) (*Client, *blackboard.Board) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := chervilladder.VM{ID: "vm-1", Peer: chervilladder.Address(listener.Addr().String())}
	c.Board, c.Listener = blackboard.New(host), listener
	board := blackboard.New(chervilladder.VM{ID: "vm-2"})
	board.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{"vm-1": {VM: host}}})
	ctx, stop := context.WithCancel(context.Background())
	server, client := NewServer(c), NewClient(board)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		_ = client.Close() // the test is over
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return client, c.Board
}

// A panic while a VM runs forwarded work, or answers a query, must cost that call only.
// The outcome of the work is unknown, and never "not run".
func TestPanicInACall(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	closed := make(chan struct{}, 3)
	client, host := connect(t, ServerConfig{Executor: panicking{closed}, Reachability: panickingExchange{}, Log: log})
	for range 3 {
		x, err := client.Open(t.Context(), "vm-1", chervilladder.Work{Database: "x", Access: chervilladder.AccessWrite, Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		is.NoErr(x.Send(chervilladder.Batch{Commits: true}))
		_, err = x.Recv()
		var unknown *chervilladder.UnknownError
		is.True(errors.As(err, &unknown))
		<-closed
		_, err = client.ReachablePrimary(t.Context(), host.Self.Peer, "s")
		is.True(err != nil)
	}
}
