package group

import (
	"maps"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// termlessPeers records, for bootstrapping, the peers known to be in no term.
// Members keep all their state in memory, so that a peer whose process isn't
// running is in no term either.
type termlessPeers struct {
	known *board.Section[map[chervilladder.UpstreamID]bool]
}

func newTermlessPeers(peers Addresses) *termlessPeers {
	termless := map[chervilladder.UpstreamID]bool{}
	for name := range peers {
		termless[name] = false
	}
	return &termlessPeers{known: board.NewSection(termless)}
}

// add records that a peer isn't running or has never been in a term.
func (t *termlessPeers) add(peer chervilladder.UpstreamID) {
	if t.known.Load()[peer] {
		return
	}
	t.known.Update(func(m *map[chervilladder.UpstreamID]bool) {
		*m = maps.Clone(*m)
		(*m)[peer] = true
	})
}

// all reports whether every peer is known to be in no term, and returns a
// channel that closes when this changes.
func (t *termlessPeers) all() (bool, <-chan struct{}) {
	known, changed := t.known.Watch()
	for _, termless := range known {
		if !termless {
			return false, changed
		}
	}
	return true, changed
}
