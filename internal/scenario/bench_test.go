package scenario_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// benchWorld starts a world for a benchmark.
func benchWorld(b *testing.B, c worldConfig) *world {
	b.Helper()
	service, err := os.ReadFile("testdata/service.json")
	if err != nil {
		b.Fatal(err)
	}
	c.service = string(service)
	c.upstreams, c.slots = 3, 3
	w, err := newWorld(b.TempDir(), binaries, c)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(w.stop)
	for _, vm := range w.vms {
		if err := w.awaitServing(vm); err != nil {
			b.Fatal(err)
		}
	}
	return w
}

func mustConnect(b *testing.B, w *world, vm string) *pgx.Conn {
	b.Helper()
	c, err := w.connect(context.Background(), vm, "bench")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// BenchmarkWrite measures one caller's acknowledged writes, each confirmed by
// a replica, through the owner and through another VM.
func BenchmarkWrite(b *testing.B) {
	w := benchWorld(b, worldConfig{vms: 2, lag: "0s", statementTime: "1ms"})
	for _, vm := range w.vms {
		c := mustConnect(b, w, vm)
		b.Run(vm, func(b *testing.B) {
			for b.Loop() {
				id := fmt.Sprint(vm, time.Now().UnixNano())
				if _, err := c.Exec(b.Context(), "INSERT INTO filings (id) VALUES ($1)", id); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFailover measures the time from the kill or partition of the primary to the
// first write that its successor acknowledges. Run it with
// -benchtime 100x for one hundred trials.
func BenchmarkFailover(b *testing.B) {
	for _, cause := range []string{"kill", "partition"} {
		b.Run(cause, func(b *testing.B) {
			w := benchWorld(b, worldConfig{vms: 2, lag: "20ms", statementTime: "1ms"})
			c := mustConnect(b, w, "vm-1")
			var gaps []time.Duration
			for b.Loop() {
				gaps = append(gaps, w.failover(b, c, cause))
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
		})
	}
}

// failover kills or partitions the current primary, returns the gap in writes, and
// restores the old primary.
func (w *world) failover(b *testing.B, c *pgx.Conn, cause string) time.Duration {
	primary := w.awaitConverged(b)
	began := time.Now()
	if cause == "kill" {
		if err := w.signal(primary, syscall.SIGKILL); err != nil {
			b.Fatal(err)
		}
	} else if err := w.call("POST", "http://"+w.controlAddresses[primary]+"/partition?on=true", ""); err != nil {
		b.Fatal(err)
	}
	gap := w.timeToWriteAtSuccessor(b, c, primary, began)
	var err error
	if cause == "kill" {
		err = w.start(primary)
	} else {
		err = w.call("POST", "http://"+w.controlAddresses[primary]+"/partition?on=false", "")
	}
	if err != nil {
		b.Fatal(err)
	}
	return gap
}

// timeToWriteAtSuccessor writes until a write is acknowledged while another member is
// primary, and returns the time since the failover began.
func (w *world) timeToWriteAtSuccessor(b *testing.B, c *pgx.Conn, old string, began time.Time) time.Duration {
	for time.Since(began) < waitTimeout {
		id := fmt.Sprintf("f%d", time.Now().UnixNano())
		_, err := c.Exec(b.Context(), "INSERT INTO filings (id) VALUES ($1)", id)
		if now := w.primary(); err == nil && now != "" && now != old {
			return time.Since(began)
		}
	}
	b.Fatalf("no write after the failover of %s\n%s", old, w.logs())
	return 0
}

// BenchmarkNoPromotion stalls the open connections of the primary, or slows the
// primary down, while a caller writes. It reports how many promotions followed;
// there should be none, but the benchmark doesn't fail if there are.
func BenchmarkNoPromotion(b *testing.B) {
	for fault, path := range map[string]string{
		"silenced": "/silence",
		"slow":     "/statement-time?value=300ms",
	} {
		b.Run(fault, func(b *testing.B) {
			w := benchWorld(b, worldConfig{vms: 2, lag: "20ms", statementTime: "1ms"})
			c := mustConnect(b, w, "vm-1")
			for b.Loop() {
				w.writeUnderFault(b, c, path)
			}
			b.ReportMetric(float64(w.statuses()[w.primary()].Term-1), "promotions")
		})
	}
}

// writeUnderFault injects a fault into the primary, writes three times, and restores the
// statement time. Stalled connections stay stalled.
func (w *world) writeUnderFault(b *testing.B, c *pgx.Conn, path string) {
	control := "http://" + w.controlAddresses[w.primary()]
	if err := w.call("POST", control+path, ""); err != nil {
		b.Fatal(err)
	}
	for range 3 {
		id := fmt.Sprintf("n%d", time.Now().UnixNano())
		if _, err := c.Exec(b.Context(), "INSERT INTO filings (id) VALUES ($1)", id); outcomeOf(err) == outcomeUnknown {
			b.Fatal(err)
		}
	}
	if err := w.call("POST", control+"/statement-time?value=1ms", ""); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTransaction measures one caller's explicit transactions of one row,
// through the owner and through another VM.
func BenchmarkTransaction(b *testing.B) {
	w := benchWorld(b, worldConfig{vms: 2, lag: "0s", statementTime: "1ms"})
	for _, vm := range w.vms {
		c := mustConnect(b, w, vm)
		b.Run(vm, func(b *testing.B) {
			for b.Loop() {
				err := pgx.BeginFunc(b.Context(), c, func(tx pgx.Tx) error {
					_, err := tx.Exec(b.Context(), "INSERT INTO filings (id) VALUES ($1)", fmt.Sprint(vm, time.Now().UnixNano()))
					return err
				})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
