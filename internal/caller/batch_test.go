package caller

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestPrepareRunsInClassOfStatement checks the class of a batch that only
// prepares a statement. pgx sends such a batch before the one that executes.
func TestPrepareRunsInClassOfStatement(t *testing.T) {
	is := is.New(t)
	parse := pgproto3.Parse{Name: "s1", Query: "/* class=status */ SELECT count(*) FROM cases"}
	message, err := parse.Encode(nil)
	is.NoErr(err)
	s, b := new(session), new(batch)
	is.NoErr(s.addExtended(b, 'P', message[5:]))
	is.NoErr(b.failure)
	is.Equal(b.class, "status")
}
