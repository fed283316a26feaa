package scenario_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
)

// shareSeed makes the choice between writes and reads the same in every run.
const shareSeed = 7

// BenchmarkReplicaShare measures the share of reads that replicas serve, and
// counts stale ones. Eight sessions alternate between two VMs; each turn writes a
// row or reads back the last row that the session wrote.
func BenchmarkReplicaShare(b *testing.B) {
	for _, lag := range []string{"0s", "50ms", "500ms", "5s"} {
		for _, writes := range []int{10, 50} {
			b.Run(fmt.Sprintf("lag=%s/writes=%d%%", lag, writes), func(b *testing.B) {
				w := benchWorld(b, worldConfig{vms: 2, lag: lag, statementTime: "1ms"})
				before := w.selects()
				stale := w.runSessions(b, writes)
				primary, replicas := w.selects().since(before)
				b.ReportMetric(100*float64(replicas)/float64(max(1, primary+replicas)), "%replica")
				b.ReportMetric(float64(stale), "stale")
			})
		}
	}
}

// readCounts holds how many SELECT statements each role has run.
type readCounts struct{ primary, replicas int }

func (c readCounts) since(before readCounts) (primary, replicas int) {
	return c.primary - before.primary, c.replicas - before.replicas
}

// selects counts the SELECT statements that the members have run.
func (w *world) selects() readCounts {
	var c readCounts
	for _, s := range w.statuses() {
		if s.Role == "primary" {
			c.primary += s.Connections.Statements["SELECT"]
		} else {
			c.replicas += s.Connections.Statements["SELECT"]
		}
	}
	return c
}

// runSessions divides b.N turns among the sessions, with one more turn in each, and
// returns how many reads were stale.
func (w *world) runSessions(b *testing.B, writes int) int64 {
	const sessions = 8
	var stale atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for s := range sessions {
		wait.Go(func() { stale.Add(w.runSession(b, s, b.N/sessions+1, writes)) })
	}
	wait.Wait()
	b.StopTimer()
	return stale.Load()
}

func (w *world) runSession(b *testing.B, session, turns, writes int) (stale int64) {
	random := rand.New(rand.NewPCG(shareSeed, uint64(session)))
	ctx := context.Background()
	conns := make([]*pgx.Conn, len(w.vms))
	for i, vm := range w.vms {
		c, err := w.connect(ctx, vm, fmt.Sprintf("session%d", session))
		if err != nil {
			b.Error(err)
			return 0
		}
		defer func() { _ = c.Close(ctx) }()
		conns[i] = c
	}
	last := "none"
	for turn := range turns {
		c := conns[turn%len(conns)]
		if random.IntN(100) < writes || last == "none" {
			last = fmt.Sprintf("s%d-%d", session, turn)
			if _, err := c.Exec(ctx, "INSERT INTO filings (id) VALUES ($1)", last); err != nil {
				b.Error(err)
				return stale
			}
			continue
		}
		var n int
		if err := c.QueryRow(ctx, "/* class=lookup */ SELECT count(*) FROM filings WHERE id = $1", last).Scan(&n); err != nil {
			b.Error(err)
			return stale
		}
		if n != 1 {
			stale++
		}
	}
	return stale
}
