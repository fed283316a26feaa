package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// pipe returns a connection to an upstream, and a function that reports whether it was
// closed.
func pipe(u chervilladder.Upstream) (*Conn, func() bool) {
	near, far := net.Pipe()
	closed := func() bool {
		_ = far.SetReadDeadline(time.Unix(1, 0))
		_, err := far.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return &Conn{upstream: u, conn: near}, closed
}

// When the configuration of an upstream changes, its idle connections and those returned
// later must be closed if they no longer fit.
func TestPoolsFollowTheConfiguration(t *testing.T) {
	const db chervilladder.DatabaseID = "ledger"
	old := chervilladder.Upstream{ID: "u", Address: "127.0.0.1:1"}
	leaving, moved := old, old
	leaving.Leaving = true
	moved.Address = "127.0.0.1:2"
	cases := map[string]struct {
		upstreams []chervilladder.Upstream
		closes    bool
	}{
		"unchanged": {[]chervilladder.Upstream{old}, false},
		"leaving":   {[]chervilladder.Upstream{leaving}, true},
		"moved":     {[]chervilladder.Upstream{moved}, true},
		"gone":      {nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			board := blackboard.New(chervilladder.VM{ID: "vm"})
			publish := func(upstreams []chervilladder.Upstream) *chervilladder.Catalogue {
				catalogue := &chervilladder.Catalogue{Databases: map[chervilladder.DatabaseID]*chervilladder.Database{
					db: {ID: db, Upstreams: upstreams},
				}}
				board.Catalogue.Store(catalogue)
				return catalogue
			}
			e := New(Config{Board: board})
			publish([]chervilladder.Upstream{old})
			idle, idleClosed := pipe(old)
			used, usedClosed := pipe(old)
			pool := e.pool(db, "u", false)
			pool.Put(idle)
			e.retire(serving(publish(c.upstreams)))
			is.Equal(idleClosed(), c.closes)
			is.True(!usedClosed()) // work in flight continues
			if now := e.pool(db, "u", false); now != nil {
				pool = now
			}
			pool.Put(used)
			is.Equal(usedClosed(), c.closes) // closed once it is idle
			publish([]chervilladder.Upstream{old})
			again, againClosed := pipe(old)
			e.pool(db, "u", false).Put(again)
			is.True(!againClosed()) // the upstream is used again
		})
	}
}
