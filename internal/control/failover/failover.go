// Package failover replaces primaries that have failed or have to leave. One
// VM at a time holds the duty to do so.
package failover

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/link"
)

// The pace of the controller.
const (
	// lookEvery is how often the clusters are judged.
	lookEvery = 50 * time.Millisecond
	// callTimeout bounds one call to the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// orderTimeout bounds one order to an upstream.
	orderTimeout = 400 * time.Millisecond
	// effectTimeout bounds the wait for a promotion to show.
	effectTimeout = 4 * time.Second
	// backOff is the pause of a cluster after a replacement failed.
	backOff = 300 * time.Millisecond
	// cutOffPause is how long a cluster is left alone after a primary was
	// replaced because its replicas did not follow: if they don't follow
	// the new one either, replacing it again doesn't help.
	cutOffPause = 8 * time.Second
	// laggingPause is the same for one that was replaced because they were too far
	// behind.
	laggingPause = 20 * time.Second
)

// Config configures a Controller.
type Config struct {
	Board    *blackboard.Board
	Record   chervilladder.DutyRecord
	Promoter chervilladder.Promoter
	Linker   chervilladder.Linker
	// Pools holds the connections that orders are given on to members which
	// take no more.
	Pools *link.Pools
	// Deposers reaches primaries that this VM is cut off from; nil reaches none.
	Deposers chervilladder.Deposers
	Log      *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
	// Leave is closed once the VM leaves and gives up the duty.
	Leave <-chan struct{}
}

// Controller watches all clusters and replaces primaries while this VM holds
// the duty.
type Controller struct {
	c    Config
	duty *duty

	mu       sync.Mutex
	busy     map[chervilladder.ServiceID]bool
	notUntil map[chervilladder.ServiceID]time.Time
	// acted is when a replacement of a cluster last ended.
	acted map[chervilladder.ServiceID]time.Time
	// running is all that Run has started, replacing the replacements alone.
	running, replacing sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Record == nil || c.Promoter == nil || c.Linker == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("failover: a board, a record, a promoter, a linker, pools, a log and a clock are needed")
	}
	return &Controller{
		c:        c,
		duty:     &duty{self: c.Board.Self.ID, record: c.Record, log: c.Log, clock: c.Clock},
		busy:     make(map[chervilladder.ServiceID]bool),
		notUntil: make(map[chervilladder.ServiceID]time.Time),
		acted:    make(map[chervilladder.ServiceID]time.Time),
	}, nil
}

// Run judges the clusters until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	defer k.running.Wait()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	k.running.Go(func() { k.duty.settle(ctx) })
	leave := k.c.Leave
	for {
		select {
		case <-ticker.C:
			if leave != nil {
				k.look(ctx)
			}
		case <-leave:
			leave = nil
			k.running.Go(func() {
				k.replacing.Wait() // another holder would order what is ordered
				k.duty.giveUp(ctx)
			})
		case <-ctx.Done():
			return nil
		}
	}
}

// look starts a replacement for each cluster that needs one.
func (k *Controller) look(ctx context.Context) {
	now := k.c.Clock()
	for service, c := range k.c.Board.Clusters.All() {
		cause := lead.Assess(c.View.Load(), c.Testimony.Load(), now)
		if cause == lead.CauseNone {
			continue
		}
		acted, ok := k.claim(service, now)
		if !ok {
			continue
		}
		k.replacing.Add(1)
		k.running.Go(func() {
			defer k.replacing.Done()
			k.replace(ctx, service, c, cause, acted)
		})
	}
}

// claim marks a cluster as worked on unless it is, or is to be left alone, and
// returns when it was last acted on.
func (k *Controller) claim(service chervilladder.ServiceID, now time.Time) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy[service] || now.Before(k.notUntil[service]) {
		return time.Time{}, false
	}
	k.busy[service] = true
	return k.acted[service], true
}

func (k *Controller) done(service chervilladder.ServiceID, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy[service] = false
	k.acted[service] = k.c.Clock()
	k.notUntil[service] = k.acted[service].Add(pause)
}

// done says what was done, by whether the primary was to be replaced.
var done = map[bool]string{true: "primary replaced", false: "members put right"}

// replace tries once to give a cluster a new primary.
func (k *Controller) replace(ctx context.Context, service chervilladder.ServiceID, c *blackboard.Cluster, cause lead.Cause, acted time.Time) {
	began := k.c.Clock()
	view := c.View.Load()
	log := k.c.Log.WithFields(logrus.Fields{
		"service": service, "cause": cause, "primary": view.Primary, "term": view.Term,
	})
	r := &replacement{k: k, service: service, cluster: c, view: view, cause: cause, log: log, acted: acted}
	err := r.run(ctx)
	pause := backOff
	switch {
	case err == nil && cause == lead.CauseCutOff:
		pause = cutOffPause
	case err == nil && cause == lead.CauseLagging:
		pause = laggingPause
	}
	k.done(service, pause)
	var wait *notMineError
	switch {
	case err == nil:
		log.WithField("took", k.c.Clock().Sub(began)).Info("failover: " + done[r.replaces()])
	case errors.Is(err, errNotAlone):
		log.WithError(err).Warn("failover: replicas not let go")
	case errors.As(err, &wait):
		log.WithError(err).Debug("failover: left to the holder of the duty")
	default:
		log.WithError(err).Warn("failover: primary not replaced")
	}
}
