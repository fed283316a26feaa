package engine

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// TestProgressIsOfOneMoment replaces a log that has parted by a shorter one of
// a newer term, again and again. A member that told the position of the old
// log with the term of the new one would pass for having replayed what it
// lacks.
func TestProgressIsOfOneMoment(t *testing.T) {
	is := is.New(t)
	const rounds = 20_000
	db, err := New(Config{Primary: func() bool { return false }})
	is.NoErr(err)
	parted := content(1, 9)
	agreed := content(2, 5)
	db.Restore(parted)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range rounds {
			db.Restore(agreed)
			db.Restore(parted)
		}
	}()
	torn := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		if p := db.Progress(); p.Reached.Term == 2 && p.Replayed > 5 {
			torn++
		}
	}
	is.Equal(torn, 0)
}

// content is what a member holds that has replayed a log of one term.
func content(term chervilladder.Term, last chervilladder.Position) Snapshot {
	m := chervilladder.Mark{Term: term, Position: last}
	return Snapshot{Mark: m, Agreed: term, Base: m}
}
