package capacity_test

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// BenchmarkResult measures how allocations grow with the number of rows in a
// result, without the callers' protocol.
func BenchmarkResult(b *testing.B) {
	for _, path := range []string{"owner", "forwarded"} {
		for _, rows := range []int{1, 100, 10_000} {
			b.Run(fmt.Sprintf("path=%s/rows=%d", path, rows), func(b *testing.B) {
				_, open := newOwnerAndOpener(b, path == "forwarded")
				sql := fmt.Sprintf("SELECT * FROM generate_series(1, %d)", rows)
				payload, err := (&pgproto3.Query{String: sql}).Encode(nil)
				check(b, err)
				batch := chervilladder.Batch{Payload: payload}
				b.ReportAllocs()
				for b.Loop() {
					check(b, exchange(b.Context(), open, work("session", chervilladder.AccessRead), batch))
				}
			})
		}
	}
}
