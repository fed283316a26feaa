package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/burn"
	"github.com/chervilladder/chervilladder/internal/caller"
	"github.com/chervilladder/chervilladder/internal/control/configuration"
	"github.com/chervilladder/chervilladder/internal/control/drain"
	"github.com/chervilladder/chervilladder/internal/control/group"
	"github.com/chervilladder/chervilladder/internal/control/membership"
	"github.com/chervilladder/chervilladder/internal/control/ownership"
	"github.com/chervilladder/chervilladder/internal/control/record"
	"github.com/chervilladder/chervilladder/internal/metrics"
	"github.com/chervilladder/chervilladder/internal/operator"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/route"
	"github.com/chervilladder/chervilladder/internal/upstream"
	"github.com/chervilladder/chervilladder/platform"
)

// lingerTime is how long a draining VM still serves peers that may not have
// received its drain announcement yet.
const lingerTime = 2 * time.Second

// listeners are the listeners of a VM and its gossip socket.
type listeners struct {
	callers, peers, operators net.Listener
	gossip                    *peer.Gossip
}

// build returns the actors in the order in which they are to stop.
func build(c Config, board *blackboard.Board) ([]actor, error) {
	store, err := platform.NewClient(platform.ClientConfig{Store: c.Settings.Platform, Log: c.Log})
	if err != nil {
		return nil, err
	}
	listeners, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	vars := newVars(board, store, listeners.gossip)
	peers := peer.NewClient(board)
	upstreams := upstream.New(upstream.Config{Board: board})
	local := route.NewLocal(route.LocalConfig{Board: board, Executor: upstreams})
	frontend, callers, err := buildFrontend(c, board, listeners, vars, local, peers)
	if err != nil {
		return nil, err
	}
	internal, err := buildInternal(c, board, listeners, store, local, peers, callers)
	if err != nil {
		return nil, err
	}
	return slices.Concat(frontend, internal, []actor{upstreams}), nil
}

// buildFrontend returns the actors that stop first: the drain, those that serve
// callers and operators, and the shutdown delay.
func buildFrontend(c Config, board *blackboard.Board, listeners listeners, vars *vars, local chervilladder.Executor, peers *peer.Client) ([]actor, *caller.Server, error) {
	drainer, err := drain.New(drain.Config{Board: board, Log: c.Log})
	if err != nil {
		return nil, nil, err
	}
	certificates, err := loadCertificates(c)
	if err != nil {
		return nil, nil, err
	}
	var recorder burn.Recorder
	callers, err := caller.New(caller.Config{
		Board:                  board,
		Executor:               metrics.CountingExecutor{Executor: route.New(route.Config{Board: board, Local: local, Remote: peers}), Outcomes: &vars.outcomes},
		Peers:                  peers,
		Burn:                   &recorder,
		Certificates:           certificates,
		Listener:               metrics.CountingListener{Listener: listeners.callers, Connected: &vars.callers},
		Log:                    c.Log,
		StartTimeout:           c.Settings.StartTimeout,
		IdleTransactionTimeout: c.Settings.IdleTransactionTimeout,
		DrainTimeout:           c.Settings.DrainTimeout,
	})
	if err != nil {
		return nil, nil, err
	}
	shutdownDelay, err := drain.NewShutdownDelay(drain.ShutdownDelayConfig{
		Board: board, Log: c.Log, Linger: lingerTime, Timeout: c.Settings.DrainTimeout,
	})
	if err != nil {
		return nil, nil, err
	}
	operators, err := operator.New(operator.Config{
		Board: board, Listener: listeners.operators, Log: c.Log, Token: c.Settings.OperatorsToken,
		Drain: drainer.Begin, Vars: &vars.all, Burn: &burn.Source{Recorder: &recorder, VM: board.Self.ID, Catalogue: board.Catalogue.Load},
	})
	if err != nil {
		return nil, nil, err
	}
	frontend := []actor{drainer, callers, shutdownDelay, operators}
	if certificates != nil {
		frontend = append(frontend, certificates)
	}
	return frontend, callers, nil
}

// loadCertificates returns the certificates for callers' TLS connections, or nil
// if none are set.
func loadCertificates(c Config) (*caller.Certificates, error) {
	if c.Settings.TLSCertificate == "" {
		return nil, nil
	}
	return caller.NewCertificates(caller.CertificatesConfig{
		Certificate: c.Settings.TLSCertificate,
		Key:         c.Settings.TLSKey,
		Log:         c.Log,
	})
}

// buildInternal returns the actors that have to run until all work is done.
// Membership is the last of these to stop, so that peers don't suspect the VM
// before it has announced its departure.
func buildInternal(c Config, board *blackboard.Board, listeners listeners, store *platform.Client, local chervilladder.Executor, peers *peer.Client, callers *caller.Server) ([]actor, error) {
	groups, err := group.New(group.Config{
		Board: board, Dial: dialMember, Log: c.Log,
		Releaser: peers, ReleaseTimeout: c.Settings.DrainTimeout,
	})
	if err != nil {
		return nil, err
	}
	records, err := record.New(record.Config{Board: board, Platform: store, Log: c.Log})
	if err != nil {
		return nil, err
	}
	configurations, err := configuration.New(configuration.Config{Board: board, Platform: store, Relay: peers, Log: c.Log})
	if err != nil {
		return nil, err
	}
	members, err := membership.New(membership.Config{
		Board: board, Platform: store, Gossip: listeners.gossip, Log: c.Log, Join: c.Settings.Join,
	})
	if err != nil {
		return nil, err
	}
	return []actor{
		peer.NewServer(peer.ServerConfig{Board: board, Executor: local, Canceller: callers, Listener: listeners.peers, Log: c.Log}),
		groups,
		records,
		peers,
		ownership.New(ownership.Config{Board: board, Log: c.Log}),
		configurations,
		members,
	}, nil
}

func dialMember(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
	return upstream.DialMember(ctx, u)
}

func openListeners(c Config) (listeners, error) {
	var listeners listeners
	var err error
	if listeners.callers, err = listen(c.Settings.Callers); err != nil {
		return listeners, err
	}
	if listeners.peers, err = listen(c.Settings.Peers); err != nil {
		return listeners, err
	}
	if listeners.operators, err = listen(c.Settings.Operators); err != nil {
		return listeners, err
	}
	listeners.gossip, err = peer.NewGossip(peer.GossipConfig{
		Address: c.Settings.Peers,
		Key:     c.Settings.PeerKey,
		Dropped: func(err error) { c.Log.WithError(err).Warn("peer: datagram dropped") },
	})
	return listeners, err
}

func listen(a chervilladder.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", string(a))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// vars are the exported variables (expvar) of a VM.
type vars struct {
	all, outcomes expvar.Map
	callers       expvar.Int
}

func newVars(board *blackboard.Board, store *platform.Client, gossip *peer.Gossip) *vars {
	v := &vars{}
	v.all.Set("callers-connected", &v.callers)
	v.all.Set("work-by-outcome", &v.outcomes)
	v.all.Set("platform-calls", expvar.Func(func() any { return store.Stats() }))
	v.all.Set("gossip", expvar.Func(func() any { return gossip.Stats() }))
	v.all.Set("members", expvar.Func(func() any { return len(board.Members.Load().Members) }))
	v.all.Set("owned-databases", expvar.Func(func() any { return ownedDatabases(board) }))
	v.all.Set("work-in-flight", expvar.Func(func() any { return inFlight(board) }))
	return v
}

func ownedDatabases(board *blackboard.Board) int {
	n := 0
	for _, vm := range board.Owners.Load().ByDatabase {
		if vm == board.Self.ID {
			n++
		}
	}
	return n
}

func inFlight(board *blackboard.Board) int {
	n := 0
	for _, db := range board.Databases.All() {
		n += db.InFlight.Count()
	}
	return n
}
