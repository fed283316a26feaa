package engine

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// TestProgressIsConsistent repeatedly replaces a diverged log by a shorter one
// of a newer term. A member that reported the old log's position with the new
// log's term would appear to have replayed entries that it lacks.
func TestProgressIsConsistent(t *testing.T) {
	is := is.New(t)
	const rounds = 20_000
	db, err := New(Config{Primary: func() bool { return false }})
	is.NoErr(err)
	diverged := content(1, 9)
	current := content(2, 5)
	db.Restore(diverged)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range rounds {
			db.Restore(current)
			db.Restore(diverged)
		}
	}()
	inconsistent := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		if p := db.Progress(); p.Reached.Term == 2 && p.Replayed > 5 {
			inconsistent++
		}
	}
	is.Equal(inconsistent, 0)
}

// content returns the snapshot of a member that has replayed a log of one term.
func content(term chervilladder.Term, last chervilladder.Position) Snapshot {
	m := chervilladder.Mark{Term: term, Position: last}
	return Snapshot{Mark: m, CompleteTerm: term, Base: m}
}
