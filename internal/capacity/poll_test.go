package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/group"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
)

// idleTime is how long idle databases are measured.
const idleTime = 10 * time.Second

// settleTime is the wait after databases are claimed, until their status polling
// is steady.
const settleTime = 12 * time.Second

// BenchmarkIdle measures what an owned database costs while it is idle.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("members=fake/databases=%d", n), func(b *testing.B) {
			benchmarkIdle(b, upstreamsOf(n), dialFake, nil, n)
		})
	}
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("members=loopback/databases=%d", n), func(b *testing.B) {
			c := startChild(b, roleUpstreams, n)
			benchmarkIdle(b, c.Upstreams, dialUpstream, c, n)
		})
	}
}

func benchmarkIdle(b *testing.B, upstreams []chervilladder.Upstream, dial group.Dialer, c *child, n int) {
	empty := measure()
	o := newOwner(b, upstreams, dial)
	time.Sleep(settleTime)
	before, statuses := measure(), o.statuses.Load()
	var childBefore usage
	if c != nil {
		childBefore = c.usage(b)
	}
	var elapsed time.Duration
	for b.Loop() {
		time.Sleep(idleTime)
		elapsed += idleTime
	}
	cpu := cpuTime() - before.Processor
	count := float64(o.statuses.Load() - statuses)
	perDatabase := func(x float64) float64 { return x / float64(n) }
	perSecond := func(x float64) float64 { return x / elapsed.Seconds() }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(perDatabase(perSecond(count)), "statuses/s/database")
	b.ReportMetric(perDatabase(perSecond(float64(cpu.Microseconds()))), "cpu-us/s/database")
	b.ReportMetric(float64(cpu.Microseconds())/count, "cpu-us/status")
	b.ReportMetric(perDatabase(float64(before.Goroutines-empty.Goroutines)), "goroutines/database")
	b.ReportMetric(perDatabase(float64(before.memory())-float64(empty.memory())), "B/database")
	if c != nil {
		childAfter := c.usage(b)
		b.ReportMetric(float64(childAfter.BytesIn-childBefore.BytesIn)/count, "B-sent/status")
		b.ReportMetric(float64(childAfter.BytesOut-childBefore.BytesOut)/count, "B-received/status")
	}
}

// BenchmarkProof measures a proof that the owner's term and claim still hold: it
// polls the status of all members and waits for a majority. Concurrent requests
// share polls.
func BenchmarkProof(b *testing.B) {
	for _, requesters := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("members=fake/requesters=%d", requesters), func(b *testing.B) {
			benchmarkProof(b, newOwner(b, upstreamsOf(1), dialFake), nil, requesters)
		})
		b.Run(fmt.Sprintf("members=loopback/requesters=%d", requesters), func(b *testing.B) {
			c := startChild(b, roleUpstreams, 1)
			benchmarkProof(b, newOwner(b, c.Upstreams, dialUpstream), c, requesters)
		})
	}
}

func benchmarkProof(b *testing.B, o *owner, c *child, requesters int) {
	state := o.board.Databases.Get(databaseID(0))
	g := state.Group.Load()
	var childBefore usage
	if c != nil {
		childBefore = c.usage(b)
	}
	b.ReportAllocs()
	statuses, cpu := o.statuses.Load(), cpuTime()
	inParallel(b, requesters, func() error {
		t := state.Polls.Request()
		_, err := state.Await(b.Context(), func(now blackboard.Group) bool {
			return proof.Current(now, g.Term, g.Claim, t) == proof.Holds
		})
		return err
	})
	cpu = cpuTime() - cpu
	count := float64(o.statuses.Load() - statuses)
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(count/float64(b.N), "statuses/op")
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/count, "cpu-us/status")
	if c != nil {
		childAfter := c.usage(b)
		b.ReportMetric(float64(childAfter.BytesIn-childBefore.BytesIn)/count, "B-sent/status")
		b.ReportMetric(float64(childAfter.BytesOut-childBefore.BytesOut)/count, "B-received/status")
	}
}
