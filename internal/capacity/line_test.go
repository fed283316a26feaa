package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clock"
	"github.com/chervilladder/chervilladder/internal/control/statuspoll"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/observe"
	"github.com/chervilladder/chervilladder/internal/session"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/lineserver"
	"github.com/chervilladder/chervilladder/platform"
)

// startSessions starts a VM in front of a stand-in cluster of three members, all in this
// process.
func startSessions(ctx context.Context, b *testing.B) (*session.Manager, *blackboard.Board) {
	b.Helper()
	c := cluster.Config{Service: "s", Confirmations: 1, Queue: 100}
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		check(b, err)
		listeners = append(listeners, l)
		c.Members = append(c.Members, chervilladder.Registered{
			ID: chervilladder.UpstreamID(fmt.Sprint("m", i)), Service: "s", Address: chervilladder.Address(l.Addr().String()), Slots: 50,
		})
	}
	members, err := cluster.New(c)
	check(b, err)
	for i, l := range listeners {
		go func() { _ = lineserver.Serve(ctx, l, members, c.Members[i].ID) }()
	}
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	board.Routing.Store(&chervilladder.Routing{
		Routes: map[chervilladder.DatabaseID]chervilladder.Route{
			"db": {Database: "db", Service: "s", Freshness: chervilladder.FreshBounded, Timeout: time.Second, Target: time.Second, MaxAge: 2 * time.Second, Attempts: 2},
		},
		Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{"s": {ID: "s", MaxConnections: 100, SyncReplicas: 1}},
	})
	u := blackboard.Upstreams{ByID: make(map[chervilladder.UpstreamID]blackboard.KnownUpstream), Known: true}
	for _, m := range c.Members {
		u.ByID[m.ID] = blackboard.KnownUpstream{Registered: m}
	}
	board.Upstreams.Store(u)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pools := link.NewPools(link.PoolsConfig{Board: board, Linker: platform.Linker{Name: "vm"}})
	sessions, err := session.New(session.Config{
		Board: board, Pools: pools, Log: log, Clock: clock.SinceBoot,
		Observer: observe.New(observe.Config{Output: io.Discard, Metrics: metrics.NewSet()}),
	})
	check(b, err)
	poller, err := statuspoll.New(statuspoll.Config{Board: board, Pools: pools, Log: log, Clock: clock.SinceBoot})
	check(b, err)
	go func() { _ = poller.Run(ctx) }()
	return sessions, board
}

// startLine starts a VM with the line protocol in front of a stand-in cluster. It returns
// the address for callers.
func startLine(b *testing.B) string {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	sessions, _ := startSessions(ctx, b)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	front, err := platform.NewFront(platform.FrontConfig{Listener: l, Sessions: sessions, Log: log})
	check(b, err)
	go func() { _ = front.Run(ctx) }()
	time.Sleep(time.Second)
	return l.Addr().String()
}

// BenchmarkLineStatement measures a statement through a VM over the line
// protocol, including the cost of the stand-in.
func BenchmarkLineStatement(b *testing.B) {
	for _, text := range []string{"READ 1a4", "WRITE 1a4 x"} {
		b.Run(strings.Fields(text)[0], func(b *testing.B) {
			conn, err := net.Dial("tcp", startLine(b))
			check(b, err)
			defer conn.Close()
			in := bufio.NewReader(conn)
			roundTrip := func(line string) {
				_, err := fmt.Fprintf(conn, "%s\r\n", line)
				check(b, err)
				for {
					got, err := in.ReadString('\n')
					check(b, err)
					if strings.HasPrefix(got, "ERROR") {
						b.Fatal(got)
					}
					if strings.HasPrefix(got, "READY") {
						return
					}
				}
			}
			roundTrip("CONNECT db c")
			b.ReportAllocs()
			cpuBefore := cpuTime()
			for b.Loop() {
				roundTrip("QUERY 1 " + text)
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}
