package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

// refusing is an executor that owns no database.
type refusing struct{}

func (refusing) Open(_ context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNotOwner}
}

// The peer refuses the work before the batch is sent. Send must not report the ended
// stream as a lost batch; Recv returns the refusal.
func TestRefusalBeforeTheBatch(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	self := chervilladder.VM{ID: "vm-1", Peer: chervilladder.Address(listener.Addr().String())}
	board := blackboard.New(self)
	board.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{"vm-1": {VM: self}}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	server := NewServer(ServerConfig{Board: board, Executor: refusing{}, Listener: listener})
	go func() { _ = server.Run(ctx) }()
	client := NewClient(board)
	defer func() { _ = client.Close() }()

	opened, err := client.Open(ctx, "vm-1", chervilladder.Work{Database: "x", Deadline: time.Now().Add(time.Minute)})
	is.NoErr(err)
	x := opened.(*exchange)
	// Sending succeeds until the peer has ended the stream.
	for x.send(&peerpb.RunRequest{}) == nil {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(x.Send(chervilladder.Batch{Commits: true}))
	_, err = x.Recv()
	var notRun *chervilladder.NotRunError
	is.True(errors.As(err, &notRun))
	is.Equal(notRun.Reason, chervilladder.ReasonNotOwner)
}
