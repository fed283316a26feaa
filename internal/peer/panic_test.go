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

// A panic while a VM runs forwarded work, or answers a query, must cost that call only.
// The outcome of the work is unknown, and never "not run".
func TestPanicInACall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	self := chervilladder.VM{ID: "vm-1", Peer: chervilladder.Address(listener.Addr().String())}
	board := blackboard.New(self)
	board.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{"vm-1": {VM: self}}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	closed := make(chan struct{}, 3)
	server := NewServer(ServerConfig{Board: board, Executor: panicking{closed}, Reachability: panickingExchange{}, Listener: listener, Log: log})
	go func() { _ = server.Run(ctx) }()
	client := NewClient(board)
	defer func() { _ = client.Close() }()
	for range 3 {
		x, err := client.Open(ctx, "vm-1", chervilladder.Work{Database: "x", Access: chervilladder.AccessWrite, Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		is.NoErr(x.Send(chervilladder.Batch{Commits: true}))
		_, err = x.Recv()
		var unknown *chervilladder.UnknownError
		is.True(errors.As(err, &unknown))
		<-closed
		_, err = client.ReachablePrimary(ctx, self.Peer, "s")
		is.True(err != nil)
	}
}
