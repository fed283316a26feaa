package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clock"
	"github.com/chervilladder/chervilladder/internal/control/bounds"
	"github.com/chervilladder/chervilladder/internal/control/failover"
	"github.com/chervilladder/chervilladder/internal/control/hosting"
	"github.com/chervilladder/chervilladder/internal/control/reachability"
	"github.com/chervilladder/chervilladder/internal/control/registry"
	"github.com/chervilladder/chervilladder/internal/control/relay"
	"github.com/chervilladder/chervilladder/internal/control/routing"
	"github.com/chervilladder/chervilladder/internal/control/statuspoll"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/logs"
	"github.com/chervilladder/chervilladder/internal/observe"
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
	shutdown := &shutdownHandler{c: c, board: board, closeIdle: make(chan struct{}), began: make(chan struct{}), reloadBounds: make(chan struct{}, 1)}
	actors, err := buildOnPlatform(c, board, shutdown)
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
	if errors.Is(err, errShutDown) {
		return nil
	}
	return err
}

// buildOnPlatform returns the actors in the order in which they are to stop.
func buildOnPlatform(c PlatformConfig, board *blackboard.Board, shutdown *shutdownHandler) ([]actor, error) {
	metricSet := metrics.NewSet()
	client, err := platform.NewClient(platform.ClientConfig{
		Store: c.Settings.Store, Promotions: c.Settings.Promotions, Log: c.Log, Metrics: metricSet,
	})
	if err != nil {
		return nil, err
	}
	linker := platform.Linker{Name: c.Settings.VM}
	pools := link.NewPools(link.PoolsConfig{Board: board, Linker: linker})
	peers := peer.NewClient(board)
	sessions, err := session.New(session.Config{
		Board: board, Pools: pools, Log: c.Log, Clock: clock.SinceBoot, Remote: peers,
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
	front, err := platform.NewFront(platform.FrontConfig{Listener: callers, Sessions: sessions, Log: c.Log, CloseIdle: shutdown.closeIdle})
	if err != nil {
		return nil, err
	}
	metricSet.NewGauge("chervilladder_callers_connected", func() float64 { return float64(front.Connected()) })
	metricSet.NewGauge("chervilladder_log_writes_dropped", func() float64 { return float64(c.LogQueue.Dropped()) })
	shutdown.connected = front.Connected
	failovers, err := failover.New(failover.Config{
		Board: board, Record: client, Promoter: client, Linker: linker, Pools: pools, PeerDemoter: peers,
		Log: c.Log, Clock: clock.SinceBoot, Leave: shutdown.began,
	})
	if err != nil {
		return nil, err
	}
	controllers, err := buildControllers(c, board, client, pools, shutdown)
	if err != nil {
		return nil, err
	}
	peering, err := buildPeering(c, board, client, peers, sessions, failovers, shutdown)
	if err != nil {
		return nil, err
	}
	return append([]actor{
		shutdown,
		front,
		failovers,
		platform.Readiness{Listener: readinessListener, Ready: func() bool { return canServe(board) && !shutdown.hasBegun() && !recovery.Failing() }},
		platform.Metrics{Listener: metricsListener, Sets: []*metrics.Set{metricSet, recovery.Metrics}},
	}, append(peering, controllers...)...), nil
}

func buildControllers(c PlatformConfig, board *blackboard.Board, client *platform.Client, pools *link.Pools, shutdown *shutdownHandler) ([]actor, error) {
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
	boundsReader, err := bounds.New(bounds.Config{Board: board, Source: platform.SettingsPath(c.SettingsPath), Log: c.Log, Reload: shutdown.reloadBounds})
	if err != nil {
		return nil, err
	}
	return []actor{routes, upstreams, statusPolls, boundsReader, memoryLimiter{board}, c.LogQueue}, nil
}

// buildPeering returns the actors by which VMs exchange the contents of the store
// and their own observations of upstreams, and forward work to each other.
func buildPeering(c PlatformConfig, board *blackboard.Board, client *platform.Client, peers *peer.Client, sessions *session.Manager, failovers *failover.Controller, shutdown *shutdownHandler) ([]actor, error) {
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
	executor, err := session.NewForwardedExecutor(session.ForwardedExecutorConfig{Manager: sessions, Leaving: shutdown.hasBegun})
	if err != nil {
		return nil, err
	}
	board.Hosting.Store(blackboard.Hosting{HostsUnknown: true})
	reachabilityController, err := reachability.New(reachability.Config{Board: board, Peers: peers, Log: c.Log, Clock: clock.SinceBoot, Leaving: shutdown.hasBegun})
	if err != nil {
		return nil, err
	}
	server := peer.NewServer(peer.ServerConfig{Board: board, Listener: listener, Executor: executor, Feed: relays, Demoter: failovers, Reachability: reachabilityController, Log: c.Log})
	return []actor{relays, hostingController, reachabilityController, server}, nil
}

// memoryLimiter sets the Go runtime's memory limit from the memory that the
// process may use.
type memoryLimiter struct{ board *blackboard.Board }

// Run applies each change of the bounds until the context ends.
func (m memoryLimiter) Run(ctx context.Context) error {
	for {
		b, changed := m.board.Bounds.Watch()
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
	if board.Routing.Load() == nil || !board.Upstreams.Load().Known {
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

// errShutDown ends the run of a VM that a signal has stopped.
var errShutDown = errors.New("the VM was shut down by a signal")

// The times of a shutdown.
const (
	// A VM that shuts down closes idle sessions after
	// closeIdleAfter/graceParts of Bounds.Grace, and all others after
	// closeAllAfter/graceParts.
	closeIdleAfter = 2
	closeAllAfter  = 5
	graceParts     = 6

	// connectedCheckInterval is how often a VM that shuts down checks whether
	// callers are connected.
	connectedCheckInterval = 50 * time.Millisecond
)

// shutdownHandler stops the VM gracefully on SIGTERM or SIGINT. The readiness check
// fails at once. When the platform has had time to observe that, idle sessions
// are closed. The VM stops when no caller is connected any more,
// at the latest at closeAllAfter.
type shutdownHandler struct {
	c     PlatformConfig
	board *blackboard.Board
	// A send on reloadBounds makes the bounds controller read the settings
	// file again.
	reloadBounds chan struct{}
	// began is closed at the signal, just after shuttingDown is set, and
	// closeIdle when idle sessions are to be closed.
	began, closeIdle chan struct{}
	shuttingDown     atomic.Bool
	connected        func() int
}

func (h *shutdownHandler) hasBegun() bool { return h.shuttingDown.Load() }

// Run handles signals until the context ends or the VM has shut down.
func (h *shutdownHandler) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return h.shutDown(ctx)
			}
			h.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload requests that the bounds be read again. All other settings are fixed
// while the process runs: if one has changed, reload logs that it takes effect at
// the next start.
func (h *shutdownHandler) reload() {
	select {
	case h.reloadBounds <- struct{}{}:
	default: // a reload is pending already
	}
	s, err := platform.ReadSettings(h.c.SettingsPath)
	s.Bounds = h.c.Settings.Bounds
	if err == nil && s != h.c.Settings {
		h.c.Log.Warn("daemon: changed settings other than the bounds take effect at the next start")
	}
}

func (h *shutdownHandler) shutDown(ctx context.Context) error {
	began := time.Now()
	h.shuttingDown.Store(true)
	close(h.began)
	h.c.Log.WithField("connected", h.connected()).Info("daemon: shutting down")
	grace := h.board.Bounds.Load().Grace
	if !h.wait(ctx, began.Add(grace*closeIdleAfter/graceParts), false) {
		return nil
	}
	close(h.closeIdle)
	if !h.wait(ctx, began.Add(grace*closeAllAfter/graceParts), true) {
		return nil
	}
	h.c.Log.WithFields(logrus.Fields{"connected": h.connected(), "took": time.Since(began)}).Info("daemon: shut down")
	return errShutDown
}

// wait waits until a point in time or, if untilEmpty is set, until no caller is
// connected. It returns false if the context ends first.
func (h *shutdownHandler) wait(ctx context.Context, until time.Time, untilEmpty bool) bool {
	t := time.NewTicker(connectedCheckInterval)
	defer t.Stop()
	for time.Now().Before(until) {
		if untilEmpty && h.connected() == 0 {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
