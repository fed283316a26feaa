package capacity_test

import (
	"context"
	"fmt"
	"net"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/caller"
	"github.com/chervilladder/chervilladder/internal/peer"
	standin "github.com/chervilladder/chervilladder/internal/standin/upstream"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
	"github.com/chervilladder/chervilladder/internal/upstream"
)

// membersPerGroup is the number of members of each database's group.
const membersPerGroup = 3

// serveUpstreams runs the stand-ins of so many databases.
func serveUpstreams(databases int) (greeting, error) {
	var hello greeting
	for n := range databases {
		list, err := serveGroup(databaseID(n))
		if err != nil {
			return hello, err
		}
		hello.Upstreams = append(hello.Upstreams, list...)
	}
	return hello, nil
}

func databaseID(n int) chervilladder.DatabaseID {
	return chervilladder.DatabaseID(fmt.Sprintf("database-%d", n))
}

func upstreamID(db chervilladder.DatabaseID, member int) chervilladder.UpstreamID {
	return chervilladder.UpstreamID(fmt.Sprintf("%s-%d", db, member))
}

func serveGroup(db chervilladder.DatabaseID) ([]chervilladder.Upstream, error) {
	addresses := make(map[chervilladder.UpstreamID]chervilladder.Address)
	var list []chervilladder.Upstream
	var listeners []standin.Listeners
	for i := range membersPerGroup {
		l, err := memberListeners()
		if err != nil {
			return nil, err
		}
		id := upstreamID(db, i)
		addresses[id] = chervilladder.Address(l.Group.Addr().String())
		listeners = append(listeners, l)
		list = append(list, chervilladder.Upstream{
			ID: id, Database: db, Address: chervilladder.Address(l.Callers.Addr().String()), Slots: 3, Connections: 20,
		})
	}
	for i, u := range list {
		m, err := standin.New(standin.Config{
			Name: u.ID, Group: addresses, Primary: list[0].ID,
			Settings: state.Settings{Slots: u.Slots, Connections: u.Connections, Reserved: 3, ReservedUser: "chervilladder-control"},
			Log:      quiet(), Die: func() {},
		})
		if err != nil {
			return nil, err
		}
		go func() { _ = m.Run(context.Background(), listeners[i]) }()
	}
	return list, nil
}

// memberListeners counts the traffic of callers alone.
func memberListeners() (standin.Listeners, error) {
	callers, err := listen()
	if err != nil {
		return standin.Listeners{}, err
	}
	group, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standin.Listeners{}, err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	return standin.Listeners{Callers: callers, Group: group, Control: control}, err
}

// serveCallers runs the callers' side of a VM that nobody sends work to.
func serveCallers(int) (greeting, error) {
	board := blackboard.New(chervilladder.VM{ID: ownerVM})
	board.Catalogue.Store(catalogue(upstreamsOf(1)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return greeting{}, err
	}
	s, err := caller.New(caller.Config{Board: board, Executor: upstream.New(upstream.Config{Board: board}), Listener: l, Log: quiet()})
	if err != nil {
		return greeting{}, err
	}
	go func() { _ = s.Run(context.Background()) }()
	return greeting{Address: chervilladder.Address(l.Addr().String())}, nil
}

// servePeer runs the peers' side of a VM.
func servePeer(int) (greeting, error) {
	board := blackboard.New(chervilladder.VM{ID: ownerVM})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return greeting{}, err
	}
	s := peer.NewServer(peer.ServerConfig{Board: board, Executor: upstream.New(upstream.Config{Board: board}), Listener: l})
	go func() { _ = s.Run(context.Background()) }()
	return greeting{Address: chervilladder.Address(l.Addr().String())}, nil
}
