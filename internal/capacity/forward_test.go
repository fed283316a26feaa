package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clock"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/session"
	"github.com/chervilladder/chervilladder/platform"
)

// forwardTargets is the number of hosts between which a forwarding VM chooses.
const forwardTargets = 7

// startForwarding starts a VM that hosts a service, and one that forwards the service's
// work to it. The first VM answers for all hosts that the second one knows.
func startForwarding(ctx context.Context, b *testing.B) *session.Manager {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	host, hostBoard := startSessions(ctx, b)
	executor, err := session.NewForwardedExecutor(session.ForwardedExecutorConfig{Manager: host, Leaving: func() bool { return false }})
	check(b, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	server := peer.NewServer(peer.ServerConfig{Board: hostBoard, Executor: executor, Listener: l, Log: log})
	go func() { _ = server.Run(ctx) }()
	board := blackboard.New(chervilladder.VM{ID: "forwarder"})
	board.Routing.Store(hostBoard.Routing.Load())
	members := make(map[chervilladder.VMID]blackboard.Member)
	hosts := blackboard.Hosts{FirstCount: forwardTargets}
	for i := range forwardTargets {
		id := chervilladder.VMID(fmt.Sprint("host-", i))
		members[id] = blackboard.Member{VM: chervilladder.VM{ID: id, Peer: chervilladder.Address(l.Addr().String())}}
		hosts.VMs = append(hosts.VMs, id)
	}
	board.Members.Store(blackboard.Membership{Members: members})
	board.Hosting.Store(blackboard.Hosting{Elsewhere: map[chervilladder.ServiceID]blackboard.Hosts{"s": hosts}})
	peers := peer.NewClient(board)
	b.Cleanup(func() { _ = peers.Close() })
	m, err := session.New(session.Config{
		Board: board, Pools: link.NewPools(link.PoolsConfig{Board: board, Linker: platform.Linker{Name: "forwarder"}}),
		Log: log, Clock: clock.SinceBoot, Remote: peers,
	})
	check(b, err)
	time.Sleep(time.Second)
	return m
}

// BenchmarkForwardedStatement measures a statement that another VM runs, including the
// cost of the stand-in.
func BenchmarkForwardedStatement(b *testing.B) {
	for name, kind := range map[string]chervilladder.CommandKind{"READ": chervilladder.CommandRead, "WRITE": chervilladder.CommandWrite} {
		b.Run(name, func(b *testing.B) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			s, err := startForwarding(ctx, b).Open("db", "caller")
			check(b, err)
			defer s.Close()
			b.ReportAllocs()
			cpuBefore := cpuTime()
			for b.Loop() {
				if r := s.Do(ctx, chervilladder.Command{Kind: kind, ID: "1", Rest: "1a4 x"}); r.Code != chervilladder.CodeNone {
					b.Fatal(r.Text)
				}
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}
