package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// constantPeer is a Feed, Demoter and Reachability with constant answers.
type constantPeer struct{ update chervilladder.StoreUpdate }

func (f constantPeer) SendUpdates(ctx context.Context, following chervilladder.Following, send func(chervilladder.StoreUpdate) error) error {
	u := f.update
	if following.HeartbeatsOnly {
		u.Routing, u.Upstreams = nil, nil
	}
	u.Has.Upstreams.Revision += following.Have.Upstreams.Revision
	u.Has.Upstreams.Era += following.Have.Upstreams.Era
	u.Has.Version += following.Have.Version
	if err := send(u); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

var errUnknown = errors.New("no such upstream")

func (f constantPeer) Demote(_ context.Context, u chervilladder.UpstreamID, term chervilladder.Term) error {
	if u != "m0" || term != 7 {
		return errUnknown
	}
	return nil
}

func (f constantPeer) ReachablePrimary(_ context.Context, s chervilladder.ServiceID) (chervilladder.PrimaryTerm, error) {
	if s != "agenda" {
		return chervilladder.PrimaryTerm{}, errUnknown
	}
	return chervilladder.PrimaryTerm{Primary: "m0", Term: 7}, nil
}

// serve starts a server. It returns a client, the server's address, and a function that
// stops the server and returns how long that took.
func serve(t *testing.T, c ServerConfig) (*Client, chervilladder.Address, func() time.Duration) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Board, c.Listener = blackboard.New(chervilladder.VM{ID: "vm-1"}), listener
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	server := NewServer(c)
	go func() { ended <- server.Run(ctx) }()
	client := NewClient(c.Board)
	t.Cleanup(func() { _ = client.Close() })
	return client, chervilladder.Address(listener.Addr().String()), func() time.Duration {
		began := time.Now()
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		return time.Since(began)
	}
}

func TestFollowReceivesUpdatesAndEndsWithTheServer(t *testing.T) {
	is := is.New(t)
	sent := chervilladder.StoreUpdate{
		Age: 1500 * time.Millisecond, Has: chervilladder.KnownRevisions{Routing: chervilladder.StoreRevision{Era: 3, Revision: 4}, Upstreams: chervilladder.StoreRevision{Era: 2, Revision: 9}, Version: 7},
		Routing: []byte("r"), Upstreams: []byte("u"),
	}
	client, addr, stop := serve(t, ServerConfig{Feed: constantPeer{sent}})
	got := make(chan chervilladder.StoreUpdate, 2)
	ended := make(chan error, 2)
	for _, heartbeatsOnly := range []bool{false, true} {
		f := chervilladder.Following{Have: chervilladder.KnownRevisions{Upstreams: chervilladder.StoreRevision{Era: 4, Revision: 1}, Version: 5}, HeartbeatsOnly: heartbeatsOnly}
		go func() { ended <- client.Follow(t.Context(), addr, f, func(u chervilladder.StoreUpdate) { got <- u }) }()
		u := <-got
		is.Equal(u.Age, sent.Age)
		is.Equal(u.Has, chervilladder.KnownRevisions{Routing: chervilladder.StoreRevision{Era: 3, Revision: 4}, Upstreams: chervilladder.StoreRevision{Era: 6, Revision: 10}, Version: 12})
		is.Equal(string(u.Routing) == "r", !heartbeatsOnly)
		is.Equal(string(u.Upstreams) == "u", !heartbeatsOnly)
	}
	is.True(stop() < stopTimeout) // running calls of Follow don't delay it
	for range 2 {
		is.True(<-ended != nil)
	}
}

func TestServerThatImplementsNoCalls(t *testing.T) {
	is := is.New(t)
	client, address, stop := serve(t, ServerConfig{})
	defer stop()
	err := client.Follow(t.Context(), address, chervilladder.Following{}, func(chervilladder.StoreUpdate) { t.Error("received an update") })
	is.True(err != nil)
	is.True(client.Demote(t.Context(), address, "m0", 7) != nil)
	_, err = client.ReachablePrimary(t.Context(), address, "agenda")
	is.True(err != nil)
}

func TestReachablePrimary(t *testing.T) {
	is := is.New(t)
	client, address, stop := serve(t, ServerConfig{Reachability: constantPeer{}})
	defer stop()
	primary, err := client.ReachablePrimary(t.Context(), address, "agenda")
	is.NoErr(err)
	is.Equal(primary, chervilladder.PrimaryTerm{Primary: "m0", Term: 7})
	_, err = client.ReachablePrimary(t.Context(), address, "registry")
	is.True(err != nil)
}

func TestDemote(t *testing.T) {
	is := is.New(t)
	client, address, stop := serve(t, ServerConfig{Demoter: constantPeer{}})
	defer stop()
	is.NoErr(client.Demote(t.Context(), address, "m0", 7))
	is.True(client.Demote(t.Context(), address, "m0", 8) != nil)
	is.True(client.Demote(t.Context(), address, "m1", 7) != nil)
}
