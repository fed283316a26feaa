package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// populated returns a state machine with a number of members.
func populated(size int, now time.Time) *StateMachine {
	m := New(Config{
		Self:   chervilladder.VM{ID: "self", Peer: "10.1.0.1:7000"},
		Random: rand.New(rand.NewPCG(1, 2)),
	}, now)
	for i := range size {
		m.apply(chervilladder.MemberUpdate{VM: chervilladder.VM{
			ID:         chervilladder.VMID(fmt.Sprintf("vm-%04d", i)),
			DataCentre: "cr-central-a",
			Peer:       chervilladder.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)),
		}, Incarnation: 1}, now)
	}
	clear(m.pending)
	return m
}

// period runs one period of a state machine: all its pings are answered, and it is
// pinged once.
func period(m *StateMachine, now time.Time) {
	for _, e := range m.Tick(now) {
		if p, ok := e.Message.Body.(chervilladder.Ping); ok {
			m.Receive(e.To, chervilladder.GossipMessage{From: p.Target, Body: chervilladder.Ack{Sequence: p.Sequence}}, now)
		}
	}
	m.Receive("10.0.0.1:7000", chervilladder.GossipMessage{From: "vm-0000", Body: chervilladder.Ping{Sequence: 1, Target: "self"}}, now)
}

func TestEachMemberIsProbedInARound(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := populated(20, now)
	probed := make(map[chervilladder.VMID]int)
	for range 3 * 20 {
		now = now.Add(m.config.Period)
		for _, e := range m.Tick(now) {
			if p, ok := e.Message.Body.(chervilladder.Ping); ok {
				probed[p.Target]++
				m.Receive(e.To, chervilladder.GossipMessage{From: p.Target, Body: chervilladder.Ack{Sequence: p.Sequence}}, now)
			}
		}
	}
	is.Equal(len(probed), 20)
	for _, n := range probed {
		is.Equal(n, 3)
	}
}

// BenchmarkPeriod measures the processor time per period; divided by the 200 ms of a
// period, it gives the share of a processor.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []int{100, 400, 1300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			now := time.Now()
			m := populated(size, now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(m.config.Period)
				period(m, now)
			}
		})
	}
}
