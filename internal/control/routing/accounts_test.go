package routing_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/routing"
)

// listed is a source of configurations that become known one after the other.
type listed struct {
	mu   sync.Mutex
	next *chervilladder.Routing
}

func (l *listed) put(r *chervilladder.Routing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = r
}

func (l *listed) get() *chervilladder.Routing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

func (l *listed) Current(context.Context) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	r := l.get()
	return r, r.Revision, nil
}

func (l *listed) Next(_ context.Context, after chervilladder.StoreRevision, _ time.Duration) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	time.Sleep(10 * time.Millisecond)
	if r := l.get(); r.Revision.After(after) {
		return r, r.Revision, nil
	}
	return nil, after, nil
}

// An account that can't be used stays as it was in the configuration before it, whether
// that came from the store or from a peer: a key that it didn't hold any more must not
// come back.
func TestInvalidAccountStaysAsInTheConfigurationBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		salt := chervilladder.NewKeySalt()
		configuration := func(revision chervilladder.StoreRevision, invalid bool, keys ...chervilladder.Key) *chervilladder.Routing {
			a := &chervilladder.Accounts{Salt: salt, Keys: make(map[chervilladder.KeyDigest]chervilladder.AccountID)}
			if invalid {
				a.Invalid = map[chervilladder.AccountID]chervilladder.InvalidAccount{"acme": {KeysUnknown: true}}
			}
			for _, k := range keys {
				a.Keys[salt.Digest(k)] = "acme"
			}
			return &chervilladder.Routing{Revision: revision, Accounts: a}
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		board := blackboard.New(chervilladder.VM{ID: "vm"})
		s := &listed{next: configuration(at(5), false, "key-1", "key-2")}
		k, err := routing.New(routing.Config{Board: board, Source: s, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		holds := func(key chervilladder.Key) bool {
			_, ok := board.Routing.Load().Accounts.Holder(key)
			return ok
		}
		time.Sleep(time.Second)
		is.True(holds("key-1"))
		board.PeerKnowledge.Store(blackboard.Knowledge{Routing: configuration(at(6), false, "key-2")})
		time.Sleep(time.Second)
		is.True(!holds("key-1"))
		s.put(configuration(at(7), true))
		time.Sleep(time.Second)
		is.Equal(board.Routing.Load().Revision, at(7))
		is.True(holds("key-2"))
		is.True(!holds("key-1"))
		cancel()
		is.NoErr(<-ended)
	})
}
