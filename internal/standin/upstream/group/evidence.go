package group

import (
	"maps"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// evidence is what is known at the start of each peer: whether it has ever
// been in a term. All content is in memory, so that a peer whose process
// doesn't run has forgotten all.
type evidence struct {
	termless *board.Section[map[chervilladder.UpstreamID]bool]
}

func newEvidence(peers Addresses) *evidence {
	termless := map[chervilladder.UpstreamID]bool{}
	for name := range peers {
		termless[name] = false
	}
	return &evidence{termless: board.NewSection(termless)}
}

// note keeps that a peer doesn't run or has never been in a term.
func (e *evidence) note(peer chervilladder.UpstreamID) {
	if e.termless.Load()[peer] {
		return
	}
	e.termless.Update(func(m *map[chervilladder.UpstreamID]bool) {
		*m = maps.Clone(*m)
		(*m)[peer] = true
	})
}

// noTerms reports whether no peer has been in a term, and returns a channel
// that closes when more is known.
func (e *evidence) noTerms() (bool, <-chan struct{}) {
	known, more := e.termless.Watch()
	for _, termless := range known {
		if !termless {
			return false, more
		}
	}
	return true, more
}
