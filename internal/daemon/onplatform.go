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
	"github.com/chervilladder/chervilladder/internal/control/evidence"
	"github.com/chervilladder/chervilladder/internal/control/failover"
	"github.com/chervilladder/chervilladder/internal/control/hosting"
	"github.com/chervilladder/chervilladder/internal/control/registry"
	"github.com/chervilladder/chervilladder/internal/control/relay"
	"github.com/chervilladder/chervilladder/internal/control/routing"
	"github.com/chervilladder/chervilladder/internal/control/witness"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/logs"
	"github.com/chervilladder/chervilladder/internal/observe"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/session"
	"github.com/chervilladder/chervilladder/platform"
)

// MetricsPort is where a VM on the prepared platform serves its metrics.
const MetricsPort = 9464

// The memory settings of the runtime: collect when the heap has grown by
// gcPercent, and by all means before memoryShare of the limit is in use.
const (
	gcPercent   = 200
	memoryShare = 0.7
)

// PlatformConfig says what a VM on the prepared platform is built from.
type PlatformConfig struct {
	SettingsPath string
	Settings     platform.Settings
	Log          *logrus.Logger
	Lines        *logs.Queue
}

// RunOnPlatform serves callers on the prepared platform until a signal comes.
func RunOnPlatform(c PlatformConfig) error {
	debug.SetGCPercent(gcPercent)
	board := blackboard.New(chervilladder.VM{ID: c.Settings.VM, DataCentre: c.Settings.DataCentre, Peer: c.Settings.Peers})
	board.Bounds.Store(c.Settings.Bounds)
	leaving := &leave{c: c, board: board, resting: make(chan struct{}), began: make(chan struct{}), reread: make(chan struct{}, 1)}
	actors, err := buildOnPlatform(c, board, leaving)
	if err != nil {
		return err
	}
	var g run.Group
	for _, a := range actors {
		add(&g, a)
	}
	c.Log.WithFields(logrus.Fields{
		"vm": c.Settings.VM, "data-centre": c.Settings.DataCentre, "callers": c.Settings.Callers, "store": c.Settings.Store,
	}).Info("daemon: started")
	err = g.Run()
	c.Log.WithError(err).Info("daemon: stopped")
	c.Lines.Flush()
	if errors.Is(err, errLeft) {
		return nil
	}
	return err
}

// buildOnPlatform returns the parts in the order in which they are to stop.
func buildOnPlatform(c PlatformConfig, board *blackboard.Board, leaving *leave) ([]actor, error) {
	client, err := platform.NewClient(platform.ClientConfig{Store: c.Settings.Store, Promotions: c.Settings.Promotions})
	if err != nil {
		return nil, err
	}
	linker := platform.Linker{Name: c.Settings.VM}
	pools := link.NewPools(link.PoolsConfig{Board: board, Linker: linker})
	counted := metrics.NewSet()
	remote := peer.NewClient(board)
	sessions, err := session.New(session.Config{
		Board: board, Pools: pools, Log: c.Log, Clock: clock.Boot, Remote: remote,
		Observer: observe.New(observe.Config{Output: c.Lines, Metrics: counted}),
	})
	if err != nil {
		return nil, err
	}
	callers, err := listen(c.Settings.Callers)
	if err != nil {
		return nil, err
	}
	ready, err := listen(c.Settings.Readiness)
	if err != nil {
		return nil, err
	}
	exposed, err := listen(chervilladder.Address(net.JoinHostPort(c.Settings.IP, strconv.Itoa(MetricsPort))))
	if err != nil {
		return nil, err
	}
	front, err := platform.NewFront(platform.FrontConfig{Listener: callers, Sessions: sessions, Log: c.Log, Leave: leaving.resting})
	if err != nil {
		return nil, err
	}
	counted.NewGauge("chervilladder_callers_connected", func() float64 { return float64(front.Connected()) })
	counted.NewGauge("chervilladder_log_writes_dropped", func() float64 { return float64(c.Lines.Dropped()) })
	leaving.connected = front.Connected
	failovers, err := failover.New(failover.Config{
		Board: board, Record: client, Promoter: client, Linker: linker, Pools: pools, Deposers: remote,
		Log: c.Log, Clock: clock.Boot, Leave: leaving.began,
	})
	if err != nil {
		return nil, err
	}
	controllers, err := buildControllers(c, board, client, pools, leaving)
	if err != nil {
		return nil, err
	}
	between, err := buildBetween(c, board, client, remote, sessions, failovers, leaving)
	if err != nil {
		return nil, err
	}
	return append([]actor{
		leaving,
		front,
		failovers,
		platform.Readiness{Listener: ready, Ready: func() bool { return serves(board) && !leaving.hasBegun() }},
		platform.Metrics{Listener: exposed, Sets: []*metrics.Set{counted}},
	}, append(between, controllers...)...), nil
}

func buildControllers(c PlatformConfig, board *blackboard.Board, client *platform.Client, pools *link.Pools, leaving *leave) ([]actor, error) {
	routes, err := routing.New(routing.Config{Board: board, Source: client.Routing(), Log: c.Log, Clock: clock.Boot})
	if err != nil {
		return nil, err
	}
	upstreams, err := registry.New(registry.Config{Board: board, Source: client.Registry(), Log: c.Log, Clock: clock.Boot})
	if err != nil {
		return nil, err
	}
	asked, err := evidence.New(evidence.Config{Board: board, Pools: pools, Log: c.Log, Clock: clock.Boot})
	if err != nil {
		return nil, err
	}
	demands, err := bounds.New(bounds.Config{Board: board, Source: platform.SettingsFile(c.SettingsPath), Log: c.Log, Reload: leaving.reread})
	if err != nil {
		return nil, err
	}
	return []actor{routes, upstreams, asked, demands, memory{board}, c.Lines}, nil
}

// buildBetween returns the parts by which VMs tell each other what the store
// can't, and pass work to each other.
func buildBetween(c PlatformConfig, board *blackboard.Board, client *platform.Client, remote *peer.Client, sessions *session.Manager, failovers *failover.Controller, leaving *leave) ([]actor, error) {
	if c.Settings.Peers == "" {
		c.Log.Warn("daemon: the settings name no ports for peers, so VMs pass nothing on")
		return nil, nil
	}
	listener, err := listen(c.Settings.Peers)
	if err != nil {
		return nil, err
	}
	relays, err := relay.New(relay.Config{Board: board, Directory: client, Feeds: remote, Log: c.Log, Clock: clock.Boot})
	if err != nil {
		return nil, err
	}
	hosts, err := hosting.New(hosting.Config{Board: board, Log: c.Log, Clock: clock.Boot})
	if err != nil {
		return nil, err
	}
	host, err := session.NewHost(session.HostConfig{Manager: sessions, Leaving: leaving.hasBegun})
	if err != nil {
		return nil, err
	}
	board.Hosting.Store(blackboard.Hosting{Deciding: true})
	witnesses, err := witness.New(witness.Config{Board: board, Peers: remote, Log: c.Log, Clock: clock.Boot, Leaving: leaving.hasBegun})
	if err != nil {
		return nil, err
	}
	server := peer.NewServer(peer.ServerConfig{Board: board, Listener: listener, Executor: host, Feed: relays, Deposer: failovers, Witness: witnesses})
	return []actor{relays, hosts, witnesses, server}, nil
}

// memory keeps the runtime within the memory that the process may use.
type memory struct{ board *blackboard.Board }

// Run follows the bounds until the context ends.
func (m memory) Run(ctx context.Context) error {
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

// serves reports whether callers could be served: the configuration is known,
// and some member answers.
func serves(board *blackboard.Board) bool {
	if board.Routing.Load() == nil || !board.Upstreams.Load().Known {
		return false
	}
	if len(board.Hosting.Load().Elsewhere) > 0 {
		return true // some service is hosted elsewhere
	}
	for _, c := range board.Clusters.All() {
		for _, s := range c.View.Load().Members {
			if s.Answers() {
				return true
			}
		}
	}
	return false
}

// errLeft ends the run of a VM that was told to stop.
var errLeft = errors.New("the VM has left")

// The parts of the grace time, in sixths, after which a VM that leaves closes
// the sessions that rest, and all others.
const (
	restingAfter = 2
	allAfter     = 5
	graceParts   = 6
	// leaveLook is how often a VM that leaves looks whether callers are
	// connected.
	leaveLook = 50 * time.Millisecond
)

// leave is the part that ends the VM in order. On SIGTERM the VM says at once
// that it takes no callers; once that is known, it closes the sessions that
// rest, and ends when none is left.
type leave struct {
	c     PlatformConfig
	board *blackboard.Board
	// reread asks for the settings to be read again.
	reread chan struct{}
	// began is closed at the signal, resting when sessions that rest are
	// to be closed.
	began, resting chan struct{}
	started        atomic.Bool
	connected      func() int
}

func (l *leave) hasBegun() bool { return l.started.Load() }

// Run waits for signals.
func (l *leave) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return l.drain(ctx)
			}
			l.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload has the bounds read again. All else that the settings name is fixed
// while the process runs, so a change of it is told and takes effect at the next
// start.
func (l *leave) reload() {
	select {
	case l.reread <- struct{}{}:
	default: // they are about to be read
	}
	s, err := platform.ReadSettings(l.c.SettingsPath)
	s.Bounds = l.c.Settings.Bounds
	if err == nil && s != l.c.Settings {
		l.c.Log.Warn("daemon: settings have changed that take effect at the next start")
	}
}

func (l *leave) drain(ctx context.Context) error {
	began := time.Now()
	l.started.Store(true)
	close(l.began)
	l.c.Log.WithField("connected", l.connected()).Info("daemon: leaving")
	grace := l.board.Bounds.Load().Grace
	if !l.wait(ctx, began.Add(grace*restingAfter/graceParts), false) {
		return nil
	}
	close(l.resting)
	if !l.wait(ctx, began.Add(grace*allAfter/graceParts), true) {
		return nil
	}
	l.c.Log.WithFields(logrus.Fields{"connected": l.connected(), "took": time.Since(began)}).Info("daemon: left")
	return errLeft
}

// wait waits until a moment, or until no caller is connected if that is
// enough. It returns false if the context ends first.
func (l *leave) wait(ctx context.Context, until time.Time, untilEmpty bool) bool {
	t := time.NewTicker(leaveLook)
	defer t.Stop()
	for time.Now().Before(until) {
		if untilEmpty && l.connected() == 0 {
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
