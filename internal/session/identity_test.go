package session_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
)

type keys = map[chervilladder.Key]chervilladder.AccountID

func openWith(t *testing.T, w *clustertest.World, vm int, key chervilladder.Key) chervilladder.Session {
	t.Helper()
	s, err := w.VMs[vm].Sessions.Open(clustertest.OwnWritesDB, key)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func TestCallerWithUnknownKeyIsDenied(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		denied := func(key chervilladder.Key) bool {
			_, err := w.VMs[0].Sessions.Open(clustertest.OwnWritesDB, key)
			var d *chervilladder.DeniedError
			return errors.As(err, &d) && !strings.Contains(err.Error(), string(key))
		}
		openWith(t, w, 0, "any word") // there are no accounts yet
		w.VMs[0].Board.Bounds.Update(func(b chervilladder.Bounds) chervilladder.Bounds {
			b.AccountsRequired = true
			return b
		})
		is.True(denied("key-1"))
		w.SetAccounts(keys{"key-1": "acme"})
		is.True(denied("key-2"))
		is.True(!denied("key-1"))
		w.SetAccounts(keys{})
		is.True(denied("key-1"))
	})
}

// A route without a key serves everybody, and still tells upstreams the account of a key
// that it knows.
func TestOpenRouteServesCallersWithoutAnAccount(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		w.SetAccounts(keys{"key-1": "acme"})
		r := *w.VMs[0].Board.Routing.Load()
		route := r.Routes[clustertest.OwnWritesDB]
		route.Open = true
		r.Routes = map[chervilladder.DatabaseID]chervilladder.Route{clustertest.OwnWritesDB: route}
		w.VMs[0].Board.Routing.Store(&r)
		do(t, openWith(t, w, 0, "unknown"), write("a"))
		do(t, openWith(t, w, 0, "key-1"), write("b"))
		is.Equal(runOf(t, w.Cluster, "a").Peer, "")
		is.Equal(runOf(t, w.Cluster, "b").Peer, "acme")
	})
}

// A withdrawn key ends an open session between two operations; a transaction that is open
// may commit.
func TestWithdrawnKeyIsDeniedOnOpenSessions(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		w.SetAccounts(keys{"key-1": "acme", "key-2": "acme"})
		s, other := openWith(t, w, 0, "key-1"), openWith(t, w, 0, "key-2")
		do(t, s, write("w1"))
		do(t, s, begin())
		do(t, s, write("t1"))
		w.SetAccounts(keys{"key-2": "acme"})
		do(t, s, write("t2"))
		do(t, s, commit())
		is.Equal(runOf(t, w.Cluster, "t2").Peer, "acme")
		for _, c := range []chervilladder.Command{write("w2"), read("r2"), begin(), command(chervilladder.CommandSet, "s", "x")} {
			r := s.Do(context.Background(), c)
			is.Equal(r.Code, chervilladder.CodeDenied)
			is.Equal(r.State, chervilladder.StateIdle)
		}
		is.Equal(len(runsOf(w.Cluster, "w2"))+len(runsOf(w.Cluster, "r2")), 0)
		do(t, other, write("w3"))
	})
}

// A key that moves to another account takes its sessions with it, from the next operation
// on.
func TestKeyThatMovesTakesItsSessionsWithIt(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		w.SetAccounts(keys{"key-1": "acme"})
		s := openWith(t, w, 0, "key-1")
		do(t, s, begin())
		do(t, s, write("t1"))
		w.SetAccounts(keys{"key-1": "brook"})
		do(t, s, write("t2"))
		do(t, s, commit())
		do(t, s, write("w1"))
		for id, want := range map[string]string{"t1": "acme", "t2": "acme", "w1": "brook"} {
			is.Equal(runOf(t, w.Cluster, id).Peer, want)
		}
	})
}

// Whether work runs here or is forwarded, upstreams are told the account of its caller,
// also by connections that other accounts have used.
func TestUpstreamsAreToldTheAccount(t *testing.T) {
	for name, vm := range map[string]int{"here": 0, "forwarded": 2} {
		t.Run(name, func(t *testing.T) {
			forwarding(t, func(is *is.I, w *clustertest.World) {
				holders := make(keys)
				for i := range 20 {
					holders[chervilladder.Key(fmt.Sprint("key-", i))] = chervilladder.AccountID(fmt.Sprint("account-", i%10))
				}
				w.SetAccounts(holders)
				for round := range 3 {
					for i := range 20 {
						s := openWith(t, w, vm, chervilladder.Key(fmt.Sprint("key-", i)))
						for _, c := range []chervilladder.Command{write("w"), read("r"), begin(), write("t"), commit()} {
							c.ID = chervilladder.CommandID(fmt.Sprintf("%s-%d-%d", c.ID, round, i))
							do(t, s, c)
							if c.Kind == chervilladder.CommandWrite || c.Kind == chervilladder.CommandRead {
								is.Equal(runOf(t, w.Cluster, string(c.ID)).Peer, fmt.Sprint("account-", i%10))
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		})
	}
}
