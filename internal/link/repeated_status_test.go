package link_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// An idle upstream's status stays the same; asking for it again costs no connection while
// the answer to the reset is new.
func TestConnectionOfAnUnchangedStatusIsReused(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{statusAnswer("primary"), statusAnswer("primary"), idleAnswer}}
	c := open(t, s)
	for range 2 {
		_, err := c.Status(time.Time{}, chervilladder.Command{Kind: chervilladder.CommandStatus})
		is.NoErr(err)
	}
	c.ReleaseAfterPoll()
	is.Equal(s.closed, 0)
}
