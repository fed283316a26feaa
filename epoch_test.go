package chervilladder_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

func TestNextEpochRises(t *testing.T) {
	is := is.New(t)
	at := func(era chervilladder.Era, r chervilladder.Revision) chervilladder.StoreRevision {
		return chervilladder.StoreRevision{Era: era, Revision: r}
	}
	is.Equal(chervilladder.NextEpoch(0, at(0, 0)), chervilladder.Epoch(1)) // a store that tells no era
	first := chervilladder.NextEpoch(0, at(1, 0))
	second := chervilladder.NextEpoch(first, at(1, 40))
	is.True(second > first)
	is.Equal(second.Era(), chervilladder.Era(1))
	again := chervilladder.NextEpoch(first, at(2, 30)) // the copy has the first epoch
	is.True(again > second)
	is.Equal(again.Era(), chervilladder.Era(2))
	// A holder of era 1 replaces the record of era 2 at a revision that exists in both.
	is.True(chervilladder.NextEpoch(second, at(2, 31)) > again)
	is.Equal(chervilladder.NextEpoch(0, at(3, 1<<40)).Era(), chervilladder.Era(3))
}
