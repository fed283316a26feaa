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
	clear *board.Section[map[chervilladder.UpstreamID]bool]
}

func newEvidence(peers map[chervilladder.UpstreamID]chervilladder.Address) *evidence {
	clear := map[chervilladder.UpstreamID]bool{}
	for name := range peers {
		clear[name] = false
	}
	return &evidence{clear: board.NewSection(clear)}
}

// note keeps that a peer doesn't run or has never been in a term.
func (e *evidence) note(peer chervilladder.UpstreamID) {
	if e.clear.Load()[peer] {
		return
	}
	e.clear.Update(func(m *map[chervilladder.UpstreamID]bool) {
		*m = maps.Clone(*m)
		(*m)[peer] = true
	})
}

// noTerms reports whether no peer has been in a term, and returns a channel
// that closes when more is known.
func (e *evidence) noTerms() (bool, <-chan struct{}) {
	known, more := e.clear.Watch()
	for _, clear := range known {
		if !clear {
			return false, more
		}
	}
	return true, more
}
