package scenario_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// BenchmarkFlood measures one caller's urgent writes through the VMs, without other
// load and while sixty callers send background work without pausing.
func BenchmarkFlood(b *testing.B) {
	w := benchWorld(b, worldConfig{vms: 2, lag: "0s", statementTime: "10ms"})
	c := mustConnect(b, w, "vm-1")
	b.Run("at-rest", func(b *testing.B) { measureUrgentWrites(b, c) })
	f := startFlood(w, 60)
	defer f.end()
	b.Run("flooded", func(b *testing.B) { measureUrgentWrites(b, c) })
}

// measureUrgentWrites writes until the benchmark ends and reports the median and 99th
// percentile of the latency and the share of writes within the class's target.
func measureUrgentWrites(b *testing.B, c *pgx.Conn) {
	const target = 500 * time.Millisecond
	var took []time.Duration
	within := 0
	for b.Loop() {
		began := time.Now()
		id := fmt.Sprintf("u%d", began.UnixNano())
		if _, err := c.Exec(b.Context(), "INSERT INTO filings (id) VALUES ($1)", id); err != nil {
			b.Fatal(err)
		}
		d := time.Since(began)
		took = append(took, d)
		if d <= target {
			within++
		}
	}
	slices.Sort(took)
	at := func(percent int) float64 { return float64(took[len(took)*percent/100].Microseconds()) / 1000 }
	b.ReportMetric(at(50), "p50-ms")
	b.ReportMetric(at(99), "p99-ms")
	b.ReportMetric(100*float64(within)/float64(len(took)), "%within")
}
