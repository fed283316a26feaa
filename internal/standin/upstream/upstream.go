// Package upstream is a small in-memory stand-in for one member of a replicated
// database group, for tests and the demo. It speaks the PostgreSQL protocol to
// callers and a protocol of its own to the other members. Faults are injected
// over HTTP.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/control"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/slots"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/wire"
)

// Config configures an Upstream.
type Config struct {
	Name chervilladder.UpstreamID
	// Group holds the addresses at which the members reach each other.
	Group group.Addresses
	// Primary is the member that becomes primary of term 1 when the group
	// has no term yet.
	Primary  chervilladder.UpstreamID
	Settings state.Settings
	Log      logrus.FieldLogger
	// Die ends the process; the control call "die" calls it.
	Die func()
}

// Listeners are the listeners that an Upstream serves.
type Listeners struct {
	Callers net.Listener
	Group   net.Listener
	Control net.Listener
}

// Upstream is one member of a group.
type Upstream struct {
	keeper  *group.Keeper
	wire    *wire.Server
	control *control.Server
	log     logrus.FieldLogger
}

// New returns a member that holds no data.
func New(c Config) (*Upstream, error) {
	if err := validate(c); err != nil {
		return nil, fmt.Errorf("upstream stand-in: %w", err)
	}
	log := c.Log.WithField("member", c.Name)
	board := state.New(c.Settings)
	db, err := engine.New(engine.Config{Primary: board.Primary})
	if err != nil {
		return nil, err
	}
	keeper, err := group.New(group.Config{
		Name: c.Name, Peers: c.Group, Initial: c.Primary == c.Name, Board: board, DB: db, Log: log,
	})
	if err != nil {
		return nil, err
	}
	queue := slots.NewQueue(c.Settings.Slots)
	server, err := wire.New(wire.Config{Board: board, DB: db, Keeper: keeper, Slots: queue, Log: log})
	if err != nil {
		return nil, err
	}
	keeper.SetSessions(server)
	ctl, err := control.New(control.Config{
		Board: board, DB: db, Keeper: keeper, Wire: server, Slots: queue, Log: log, Die: c.Die,
	})
	if err != nil {
		return nil, err
	}
	return &Upstream{keeper: keeper, wire: server, control: ctl, log: log}, nil
}

func validate(c Config) error {
	switch {
	case c.Name == "":
		return errors.New("a name is required")
	case c.Log == nil:
		return errors.New("a logger is required")
	case c.Die == nil:
		return errors.New("a function that ends the process is required")
	case c.Settings.Slots < 1 || c.Settings.Connections < 1:
		return errors.New("slots and connections must be at least 1")
	case c.Primary != "" && c.Primary != c.Name && c.Group[c.Primary] == "":
		return fmt.Errorf("primary %q is not a member of the group", c.Primary)
	default:
		return nil
	}
}

// Run serves until the context is done, or the keeper or one of the servers
// fails.
func (u *Upstream) Run(ctx context.Context, l Listeners) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u.log.Infof("upstream: Listening. callers=%s group=%s control=%s", l.Callers.Addr(), l.Group.Addr(), l.Control.Addr())
	parts := []func(context.Context) error{
		u.keeper.Run,
		func(ctx context.Context) error { return u.keeper.Serve(ctx, l.Group) },
		func(ctx context.Context) error { return u.wire.Serve(ctx, l.Callers) },
		func(ctx context.Context) error { return u.control.Serve(ctx, l.Control) },
	}
	results := make(chan error, len(parts))
	for _, run := range parts {
		go func() {
			defer cancel()
			results <- run(ctx)
		}()
	}
	var failed error
	for range parts {
		failed = errors.Join(failed, <-results)
	}
	return failed
}
