package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// serveAt serves peers at an address until the returned function is called.
func serveAt(t *testing.T, address string) (stop func(), bound chervilladder.Address) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Board: blackboard.New(chervilladder.VM{ID: "vm-1"}), Executor: delayed{}, Listener: listener})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}, chervilladder.Address(listener.Addr().String())
}

// A VM that was unreachable for some seconds must be connected to again soon after it is
// back, without a call that waits for it: with the default pauses between attempts to
// connect, which grow to two minutes, all work forwarded to it failed meanwhile.
func TestConnectionIsOpenedAgainSoonAfterAnOutage(t *testing.T) {
	is := is.New(t)
	stop, address := serveAt(t, "127.0.0.1:0")
	client := NewClient(blackboard.New(chervilladder.VM{ID: "vm-2"}))
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var connected atomic.Bool
	go client.KeepConnected(ctx, address, connected.Store)
	await(t, time.Second, func() bool { return connected.Load() })
	stop()
	await(t, time.Second, func() bool { return !connected.Load() })
	time.Sleep(6 * time.Second)
	stop, _ = serveAt(t, string(address))
	defer stop()
	await(t, 2*maxReconnectPause, func() bool { return connected.Load() })
	_, err := client.ReachablePrimary(t.Context(), address, "s")
	is.True(err != nil) // this VM answers no such query, but it answers
}

// await waits until a condition holds.
func await(t *testing.T, limit time.Duration, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v", limit)
		}
	}
}
