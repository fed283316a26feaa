package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clock"
	"github.com/chervilladder/chervilladder/internal/connlimit"
	"github.com/chervilladder/chervilladder/internal/control/bounds"
	"github.com/chervilladder/chervilladder/internal/control/failover"
	"github.com/chervilladder/chervilladder/internal/control/forwarding"
	"github.com/chervilladder/chervilladder/internal/control/hosting"
	"github.com/chervilladder/chervilladder/internal/control/locality"
	"github.com/chervilladder/chervilladder/internal/control/quota"
	"github.com/chervilladder/chervilladder/internal/control/reachability"
	"github.com/chervilladder/chervilladder/internal/control/registry"
	"github.com/chervilladder/chervilladder/internal/control/relay"
	"github.com/chervilladder/chervilladder/internal/control/routing"
	"github.com/chervilladder/chervilladder/internal/control/shutdown"
	"github.com/chervilladder/chervilladder/internal/control/statuspoll"
	"github.com/chervilladder/chervilladder/internal/decide/intake"
	"github.com/chervilladder/chervilladder/internal/identity"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/logs"
	"github.com/chervilladder/chervilladder/internal/observe"
	"github.com/chervilladder/chervilladder/internal/operator"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/recovery"
	"github.com/chervilladder/chervilladder/internal/session"
	"github.com/chervilladder/chervilladder/platform"
)

// MetricsPort is the port on which a VM on the users' platform serves its
// metrics.
const MetricsPort = 9464

// The memory settings of the Go runtime: it collects garbage when the heap has
// grown by gcPercent, and in any case before the process uses more than
// memoryShare of Bounds.MemoryBytes.
const (
	gcPercent   = 200
	memoryShare = 0.7
)

// PlatformConfig configures a VM that runs on the users' platform and serves its
// line protocol.
type PlatformConfig struct {
	SettingsPath string
	Settings     platform.Settings
	Log          *logrus.Logger
	LogQueue     *logs.Queue
}

// RunOnPlatform serves callers over the platform's line protocol until the VM is
// stopped by a signal.
func RunOnPlatform(c PlatformConfig) error {
	debug.SetGCPercent(gcPercent)
	board := blackboard.New(chervilladder.VM{ID: c.Settings.VM, DataCentre: c.Settings.DataCentre, Peer: c.Settings.Peers})
	board.Bounds.Store(c.Settings.Bounds)
	actors, err := buildOnPlatform(c, board)
	if err != nil {
		return err
	}
	var g run.Group
	for _, a := range actors {
		add(&g, c.Log, a)
	}
	c.Log.WithFields(logrus.Fields{
		"vm": c.Settings.VM, "data-centre": c.Settings.DataCentre, "callers": c.Settings.Callers, "store": c.Settings.Store,
	}).Info("daemon: started")
	err = g.Run()
	c.Log.WithError(err).Info("daemon: stopped")
	c.LogQueue.Flush()
	if errors.Is(err, shutdown.ErrShutDown) {
		return nil
	}
	return err
}

// buildOnPlatform returns the actors in the order in which they are to stop.
func buildOnPlatform(c PlatformConfig, board *blackboard.Board) ([]actor, error) {
	metricSet := metrics.NewSet()
	client, err := platform.NewClient(platform.ClientConfig{
		Store: c.Settings.Store, Promotions: c.Settings.Promotions, Log: c.Log, Metrics: metricSet,
		KeySalt: func() chervilladder.KeySalt { return keySalt(board) },
	})
	if err != nil {
		return nil, err
	}
	memory := intake.NewAccount()
	memory.SetLimit(intake.Limit(intake.Bytes(c.Settings.Bounds.MemoryBytes)))
	linker := platform.Linker{Name: c.Settings.VM}
	pools := link.NewPools(link.PoolsConfig{Board: board, Linker: linker, Log: c.Log})
	peers := peer.NewClient(board)
	authenticator, err := identity.New(identity.Config{Board: board, Log: c.Log})
	if err != nil {
		return nil, err
	}
	quotas, err := quota.New(quota.Config{Board: board, Peers: peers, Log: c.Log, Clock: clock.SinceBoot, MaxListAge: relay.MaxListAge})
	if err != nil {
		return nil, err
	}
	sessions, err := session.New(session.Config{
		Board: board, Pools: pools, Log: c.Log, Clock: clock.SinceBoot, Remote: peers, Authenticator: authenticator, Admitter: quotas, Memory: memory,
		Observer: observe.New(observe.Config{Output: c.LogQueue, Metrics: metricSet}),
	})
	if err != nil {
		return nil, err
	}
	callers, err := listen(c.Settings.Callers)
	if err != nil {
		return nil, err
	}
	readinessListener, err := listen(c.Settings.Readiness)
	if err != nil {
		return nil, err
	}
	metricsListener, err := listen(chervilladder.Address(net.JoinHostPort(c.Settings.IP, strconv.Itoa(MetricsPort))))
	if err != nil {
		return nil, err
	}
	closeIdle := make(chan struct{})
	front, err := platform.NewFront(platform.FrontConfig{
		Listener: callers, Sessions: sessions, Log: c.Log, CloseIdle: closeIdle, Memory: memory,
		MaxConnections: func() int { return intake.ShareDescriptors(board.Bounds.Load().Sockets).Callers },
	})
	if err != nil {
		return nil, err
	}
	stopping, err := shutdown.New(shutdown.Config{Board: board, Log: c.Log, Connected: front.Connected, CloseIdle: closeIdle})
	if err != nil {
		return nil, err
	}
	signals := &signalHandler{c: c, stopping: stopping, reloadBounds: make(chan struct{}, 1)}
	metricSet.NewGauge("chervilladder_callers_connected", func() float64 { return float64(front.Connected()) })
	metricSet.NewGauge("chervilladder_callers_memory_bytes", func() float64 { return float64(memory.Used()) })
	metricSet.NewGauge("chervilladder_log_writes_dropped", func() float64 { return float64(c.LogQueue.Dropped()) })
	failovers, err := failover.New(failover.Config{
		Board: board, Record: client, Promoter: client, Linker: linker, Pools: pools, PeerDemoter: peers, PeerCandidacies: peers,
		Log: c.Log, Clock: clock.SinceBoot, Leave: stopping.Began(),
	})
	if err != nil {
		return nil, err
	}
	controllers, err := buildControllers(c, board, client, pools, memory, signals.reloadBounds)
	if err != nil {
		return nil, err
	}
	peering, err := buildPeering(c, board, client, peers, sessions, failovers, quotas)
	if err != nil {
		return nil, err
	}
	return append([]actor{
		stopping,
		front,
		signals,
		failovers,
		quotas,
		platform.Readiness{Listener: limited(board, readinessListener), Ready: func() bool { return canServe(board) && !board.ShutsDown() && !recovery.Failing() }},
		platform.Metrics{Listener: limited(board, metricsListener), Sets: []*metrics.Set{metricSet, recovery.Metrics, failover.Metrics, link.Metrics, identity.Metrics, quota.Metrics, platform.LimitMetrics}, Handlers: map[string]http.Handler{"GET " + operator.ExplainPath: operator.ExplainHandler(sessions)}},
	}, append(peering, controllers...)...), nil
}

// keySalt returns the salt of the keys of the configuration in force, or nil.
func keySalt(board *blackboard.Board) chervilladder.KeySalt {
	if r := board.Routing.Load(); r != nil && r.Accounts != nil {
		return r.Accounts.Salt
	}
	return nil
}

func buildControllers(c PlatformConfig, board *blackboard.Board, client *platform.Client, pools *link.Pools, memory *intake.Account, reloadBounds <-chan struct{}) ([]actor, error) {
	routes, err := routing.New(routing.Config{Board: board, Source: client.Routing(), Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	upstreams, err := registry.New(registry.Config{Board: board, Source: client.Registry(), Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	statusPolls, err := statuspoll.New(statuspoll.Config{Board: board, Pools: pools, Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	boundsReader, err := bounds.New(bounds.Config{Board: board, Source: platform.SettingsPath(c.SettingsPath), Log: c.Log, Reload: reloadBounds})
	if err != nil {
		return nil, err
	}
	return []actor{routes, upstreams, statusPolls, boundsReader, memoryLimiter{board, memory}, c.LogQueue}, nil
}

// buildPeering returns the actors by which VMs exchange the contents of the store
// and their own observations of upstreams, and forward work to each other.
func buildPeering(c PlatformConfig, board *blackboard.Board, client *platform.Client, peers *peer.Client, sessions *session.Manager, failovers *failover.Controller, quotas *quota.Controller) ([]actor, error) {
	if c.Settings.Peers == "" {
		c.Log.Warn("daemon: the settings have no ports for peers; nothing is forwarded between VMs")
		return nil, nil
	}
	listener, err := listen(c.Settings.Peers)
	if err != nil {
		return nil, err
	}
	relays, err := relay.New(relay.Config{Board: board, Directory: client, Feeds: peers, Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	hostingController, err := hosting.New(hosting.Config{Board: board, Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	executor, err := session.NewForwardedExecutor(session.ForwardedExecutorConfig{Manager: sessions, Leaving: board.ShutsDown})
	if err != nil {
		return nil, err
	}
	board.Hosting.Store(blackboard.Hosting{HostsUnknown: true})
	reachabilityController, err := reachability.New(reachability.Config{Board: board, Peers: peers, Log: c.Log, Clock: clock.SinceBoot, Leaving: board.ShutsDown})
	if err != nil {
		return nil, err
	}
	forwardingController, err := forwarding.New(forwarding.Config{Board: board, Connections: peers, Peers: peers, Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	localityController, err := locality.New(locality.Config{Board: board, Log: c.Log, Clock: clock.SinceBoot})
	if err != nil {
		return nil, err
	}
	server := peer.NewServer(peer.ServerConfig{Board: board, Listener: limitedPeers(board, listener), Executor: executor, Feed: relays, Demoter: failovers, Candidacies: failovers, Reachability: reachabilityController, QuotaLender: quotas, Log: c.Log})
	return []actor{relays, hostingController, reachabilityController, forwardingController, localityController, server}, nil
}

// limited bounds the connections of an HTTP server. The oldest one is closed for a new
// one, since clients that check the VM can connect again.
func limited(board *blackboard.Board, l net.Listener) net.Listener {
	return connlimit.New(connlimit.Config{Listener: l, CloseOldest: true, Max: func() int {
		return intake.ShareDescriptors(board.Bounds.Load().Sockets).HTTP
	}})
}

// limitedPeers bounds the connections from peers. A new one beyond the bound is closed,
// since the open ones are long-lived and carry forwarded work.
func limitedPeers(board *blackboard.Board, l net.Listener) net.Listener {
	return connlimit.New(connlimit.Config{Listener: l, Max: func() int {
		return intake.ShareDescriptors(board.Bounds.Load().Sockets).Peers
	}})
}

// memoryLimiter sets the Go runtime's memory limit, and that of what callers may make the
// VM hold, from the memory that the process may use.
type memoryLimiter struct {
	board   *blackboard.Board
	callers *intake.Account
}

// Run applies each change of the bounds until the context ends.
func (m memoryLimiter) Run(ctx context.Context) error {
	for {
		b, changed := m.board.Bounds.Watch()
		m.callers.SetLimit(intake.Limit(intake.Bytes(b.MemoryBytes)))
		if b.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(float64(b.MemoryBytes) * memoryShare))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// canServe reports whether callers can be served: the configuration is known,
// and some upstream responds or other VMs host some service.
func canServe(board *blackboard.Board) bool {
	if board.Routing.Load() == nil || !board.Upstreams.Load().Known || !quota.Ready(board) {
		return false
	}
	if len(board.Hosting.Load().Elsewhere) > 0 {
		return true // other VMs serve some service
	}
	for _, c := range board.Clusters.All() {
		for _, o := range c.View.Load().Members {
			if o.Answers() {
				return true
			}
		}
	}
	return false
}
