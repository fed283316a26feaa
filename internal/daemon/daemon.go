package daemon

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/caller"
	"github.com/chervilladder/chervilladder/internal/control/configuration"
	"github.com/chervilladder/chervilladder/internal/control/group"
	"github.com/chervilladder/chervilladder/internal/control/membership"
	"github.com/chervilladder/chervilladder/internal/control/ownership"
	"github.com/chervilladder/chervilladder/internal/control/record"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/platform"
	"github.com/chervilladder/chervilladder/internal/route"
	"github.com/chervilladder/chervilladder/internal/upstream"
)

// Config says what a daemon is built from.
type Config struct {
	Settings Settings
	Log      *logrus.Logger
}

// actor is a part that runs until its context ends.
type actor interface {
	Run(ctx context.Context) error
}

// Run builds all parts and runs them until one fails or a signal comes. The
// callers' side drains first, while the other parts still run.
func Run(c Config) error {
	board := blackboard.New(chervilladder.VM{
		ID:         c.Settings.VM,
		DataCentre: c.Settings.DataCentre,
		Peer:       c.Settings.Peers,
	})
	front, rest, err := build(c, board)
	if err != nil {
		return err
	}
	restCtx, stopRest := context.WithCancel(context.Background())
	defer stopRest()
	var g run.Group
	add(&g, context.Background(), front, nil)
	for _, a := range rest {
		add(&g, restCtx, a, nil)
	}
	g.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	return g.Run()
}

// add makes a part an actor of the group.
func add(g *run.Group, parent context.Context, a actor, after func()) {
	ctx, stop := context.WithCancel(parent)
	g.Add(func() error {
		if after != nil {
			defer after()
		}
		return a.Run(ctx)
	}, func(error) { stop() })
}

func build(c Config, board *blackboard.Board) (actor, []actor, error) {
	store, err := platform.New(platform.Config{Address: string(c.Settings.Platform)})
	if err != nil {
		return nil, nil, err
	}
	callers, err := listen(c.Settings.Callers)
	if err != nil {
		return nil, nil, err
	}
	peers, err := listen(c.Settings.Peers)
	if err != nil {
		return nil, nil, err
	}
	gossip, err := peer.NewGossip(peer.GossipConfig{Address: c.Settings.Peers})
	if err != nil {
		return nil, nil, err
	}
	remote := peer.NewClient(board)
	services, err := configuration.New(configuration.Config{Board: board, Platform: store, Relay: remote, Log: c.Log})
	if err != nil {
		return nil, nil, err
	}
	members, err := membership.New(membership.Config{Board: board, Platform: store, Gossip: gossip, Log: c.Log})
	if err != nil {
		return nil, nil, err
	}
	local := upstream.New(upstream.Config{Board: board})
	groups, err := group.New(group.Config{Board: board, Platform: store, Dial: dialMember, Log: c.Log})
	if err != nil {
		return nil, nil, err
	}
	records, err := record.New(record.Config{Board: board, Platform: store, Log: c.Log})
	if err != nil {
		return nil, nil, err
	}
	front, err := caller.New(caller.Config{
		Board:    board,
		Executor: route.New(route.Config{Board: board, Local: local, Remote: remote}),
		Listener: callers,
		Log:      c.Log,
	})
	if err != nil {
		return nil, nil, err
	}
	return front, []actor{
		peer.NewServer(peer.ServerConfig{Board: board, Executor: local, Listener: peers}),
		services,
		members,
		ownership.New(ownership.Config{Board: board, Log: c.Log}),
		groups,
		local,
		records,
	}, nil
}

func dialMember(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
	return upstream.DialMember(ctx, u)
}

func listen(a chervilladder.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", string(a))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
