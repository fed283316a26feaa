package repeat_test

import (
	"fmt"
	"testing"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// BenchmarkFilter judges the answers of a statement with its set-up, on a connection that
// has received many.
func BenchmarkFilter(b *testing.B) {
	var f repeat.Filter
	kinds := []chervilladder.CommandKind{chervilladder.CommandReset, chervilladder.CommandSet, chervilladder.CommandPrepare, chervilladder.CommandRead}
	answers := make([]chervilladder.Result, 1000)
	for i := range answers {
		answers[i] = chervilladder.Result{Rows: []string{"row"}, Signature: chervilladder.Signature(fmt.Sprintf("7.1f3.c.2b.90e1c4d2a7b3%04d", i))}
	}
	set := plain(chervilladder.StateIdle)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		for _, k := range kinds {
			f.Sent(k)
		}
		for range kinds[1:] {
			f.Judge(set, now)
		}
		f.Judge(answers[n%len(answers)], now)
		n++
	}
}
