package capacity_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/peer"
)

// BenchmarkIdleCallers measures the memory of each idle signed-in caller, from the
// difference between few and many callers. The child process is the measured end.
func BenchmarkIdleCallers(b *testing.B) {
	c := startChild(b, roleCallerServer, 0)
	const few, many = 500, 4500
	for b.Loop() {
		open := signInAll(b, c.Address, few)
		before := c.usage(b)
		open = append(open, signInAll(b, c.Address, many-few)...)
		after := c.usage(b)
		perCaller := func(x, y uint64) float64 { return (float64(y) - float64(x)) / (many - few) }
		b.ReportMetric(perCaller(before.HeapBytes, after.HeapBytes), "heap-B/caller")
		b.ReportMetric(perCaller(before.StackBytes, after.StackBytes), "stack-B/caller")
		b.ReportMetric(perCaller(before.memory(), after.memory()), "B/caller")
		b.ReportMetric(perCaller(uint64(before.Goroutines), uint64(after.Goroutines)), "goroutines/caller")
		b.ReportMetric(0, "ns/op")
		for _, conn := range open {
			conn.Close()
		}
	}
}

func signInAll(b *testing.B, a chervilladder.Address, n int) []net.Conn {
	b.Helper()
	start := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "clerk", "database": string(databaseID(0))},
	}
	message, err := start.Encode(nil)
	check(b, err)
	open := make([]net.Conn, n)
	for i := range open {
		open[i], err = net.Dial("tcp", string(a))
		check(b, err)
		_, err = open[i].Write(message)
		check(b, err)
		check(b, awaitReady(open[i]))
	}
	return open
}

// awaitReady reads until a ReadyForQuery message.
func awaitReady(c net.Conn) error {
	var header [5]byte
	for header[0] != 'Z' {
		if _, err := io.ReadFull(c, header[:]); err != nil {
			return err
		}
		if header[0] == 'E' {
			return fmt.Errorf("sign-in was rejected")
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
		if _, err := io.ReadFull(c, body); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkPeerConnections measures the memory of each idle connection between
// peers, at both ends, from the difference between few and many connections.
func BenchmarkPeerConnections(b *testing.B) {
	c := startChild(b, rolePeer, 0)
	const few, many = 50, 450
	board := blackboard.New(chervilladder.VM{ID: "vm-entry"})
	pull := func(n int) {
		for range n {
			p := peer.NewClient(board)
			b.Cleanup(func() { _ = p.Close() })
			_, err := p.Pull(b.Context(), c.Address, 0)
			check(b, err)
		}
	}
	for b.Loop() {
		pull(few)
		serverBefore, clientBefore := c.usage(b), measure()
		pull(many - few)
		serverAfter, clientAfter := c.usage(b), measure()
		perConnection := func(x, y uint64) float64 { return (float64(y) - float64(x)) / (many - few) }
		b.ReportMetric(perConnection(clientBefore.memory(), clientAfter.memory()), "client-B/connection")
		b.ReportMetric(perConnection(serverBefore.memory(), serverAfter.memory()), "server-B/connection")
		b.ReportMetric(perConnection(uint64(clientBefore.Goroutines), uint64(clientAfter.Goroutines)), "client-goroutines/connection")
		b.ReportMetric(perConnection(uint64(serverBefore.Goroutines), uint64(serverAfter.Goroutines)), "server-goroutines/connection")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkSessionMinimumPositions measures the memory of the minimum position
// that an owner keeps for each session.
func BenchmarkSessionMinimumPositions(b *testing.B) {
	const sessions = 50_000
	for b.Loop() {
		before := measure()
		var f blackboard.MinimumPositions
		for i := range sessions {
			f.Wrote(chervilladder.SessionID(fmt.Sprintf("session-%032d", i)), chervilladder.Mark{Term: 1, Position: 1})
		}
		after := measure()
		b.ReportMetric((float64(after.HeapBytes)-float64(before.HeapBytes))/sessions, "B/session")
		b.ReportMetric(0, "ns/op")
		// The call keeps f alive until after the second measurement.
		f.Reset(chervilladder.Mark{})
	}
}
