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

// serveUpstreams runs the stand-ins of a number of databases.
func serveUpstreams(databases int) (childInfo, error) {
	var info childInfo
	for n := range databases {
		list, err := serveGroup(databaseID(n))
		if err != nil {
			return info, err
		}
		info.Upstreams = append(info.Upstreams, list...)
	}
	return info, nil
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
			Log:      discardLogger(), Die: func() {},
		})
		if err != nil {
			return nil, err
		}
		go func() { _ = m.Run(context.Background(), listeners[i]) }()
	}
	return list, nil
}

// memberListeners returns a member's listeners. Only the one for callers counts its
// traffic.
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

// runCallerServer runs the callers' server of a VM. Its callers send no work.
func runCallerServer(int) (childInfo, error) {
	board := blackboard.New(chervilladder.VM{ID: ownerVM})
	board.Catalogue.Store(catalogue(upstreamsOf(1)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return childInfo{}, err
	}
	s, err := caller.New(caller.Config{Board: board, Executor: upstream.New(upstream.Config{Board: board}), Listener: l, Log: discardLogger()})
	if err != nil {
		return childInfo{}, err
	}
	go func() { _ = s.Run(context.Background()) }()
	return childInfo{Address: chervilladder.Address(l.Addr().String())}, nil
}

// servePeer runs the peers' server of a VM.
func servePeer(int) (childInfo, error) {
	board := blackboard.New(chervilladder.VM{ID: ownerVM})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return childInfo{}, err
	}
	s := peer.NewServer(peer.ServerConfig{Board: board, Executor: upstream.New(upstream.Config{Board: board}), Listener: l})
	go func() { _ = s.Run(context.Background()) }()
	return childInfo{Address: chervilladder.Address(l.Addr().String())}, nil
}
