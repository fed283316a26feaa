// Package failover replaces primaries that have failed or are draining. One VM at a time
// holds the failover leadership and may order promotions. Only daemon.RunOnPlatform
// starts it; daemon.Run starts package group instead.
package failover

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

const (
	// assessInterval is the time between two assessments of all clusters.
	assessInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// orderTimeout bounds one order to an upstream.
	orderTimeout = 400 * time.Millisecond
	// effectTimeout bounds the wait for an ordered promotion to be observed.
	effectTimeout = 4 * time.Second
	// backOff is the pause after a replacement attempt, before the cluster is handled
	// again.
	backOff = 300 * time.Millisecond
	// cutOffPause is the pause after a primary was replaced because its replicas did not
	// follow it: if they don't follow the new primary either, replacing that one doesn't
	// help.
	cutOffPause = 8 * time.Second
	// laggingPause is the pause after a primary was replaced because its replicas were
	// too far behind.
	laggingPause = 20 * time.Second
)

// part names this package in reports of panics.
const part recovery.Part = "failover"

// Config configures a Controller.
type Config struct {
	Board    *blackboard.Board
	Record   chervilladder.LeadershipRecord
	Promoter chervilladder.Promoter
	Linker   chervilladder.Linker
	// Pools provides the connections for orders to members that accept no new ones.
	Pools *link.Pools
	// PeerDemoter has peers demote primaries that this VM can't reach; nil if there are
	// none.
	PeerDemoter chervilladder.PeerDemoter
	// PeerCandidacies tells peers of replicas that may become primaries; nil if there are
	// none.
	PeerCandidacies chervilladder.PeerCandidacyAcceptor
	Log             *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
	// Leave is closed when the VM leaves and has to release the failover leadership.
	Leave <-chan struct{}
}

// Controller assesses all clusters and corrects them, in most cases by replacing a
// primary, if this VM holds the failover leadership or can take it over.
type Controller struct {
	c          Config
	leadership *leadership
	// era is the latest era of the store that Run has seen.
	era chervilladder.Era

	mu           sync.Mutex
	inProgress   map[chervilladder.ServiceID]bool
	backoffUntil map[chervilladder.ServiceID]time.Time
	// lastAttempt is when the last replacement attempt of a cluster ended.
	lastAttempt map[chervilladder.ServiceID]time.Time
	behind      map[chervilladder.ServiceID]behindTimes
	// process is this process in announcements, and sequence numbers them.
	process  uint64
	sequence atomic.Uint64
	// ended is closed when Run ends.
	ended <-chan struct{}
	// running covers all goroutines that Run has started; replacing covers the
	// replacements only.
	running, replacing sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Record == nil || c.Promoter == nil || c.Linker == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("failover: a board, a record, a promoter, a linker, pools, a log and a clock are needed")
	}
	return &Controller{
		c:            c,
		leadership:   &leadership{self: c.Board.Self.ID, record: c.Record, log: c.Log, clock: c.Clock, acquiring: semaphore.NewWeighted(1)},
		inProgress:   make(map[chervilladder.ServiceID]bool),
		backoffUntil: make(map[chervilladder.ServiceID]time.Time),
		lastAttempt:  make(map[chervilladder.ServiceID]time.Time),
		behind:       make(map[chervilladder.ServiceID]behindTimes),
		process:      uint64(max(0, time.Now().UnixNano())),
	}, nil
}

// Run assesses the clusters until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	initializing, stop := context.WithCancel(ctx)
	defer k.running.Wait()
	defer stop()
	running, end := context.WithCancel(ctx)
	defer end()
	k.ended = running.Done()
	ticker := time.NewTicker(assessInterval)
	defer ticker.Stop()
	recovery.Go(initializing, &k.running, k.c.Log, part, k.leadership.initialize)
	leave := k.c.Leave
	for {
		select {
		case <-ticker.C:
			if leave != nil {
				k.reclaimInANewEra(initializing)
				k.startReplacements(ctx)
			}
		case <-leave:
			leave = nil
			stop() // the leadership isn't taken any more
			recovery.Go(ctx, &k.running, k.c.Log, part, func(ctx context.Context) {
				k.replacing.Wait() // another holder would order the same promotion again
				k.leadership.release(ctx)
			})
		case <-ctx.Done():
			return nil
		}
	}
}

// reclaimInANewEra takes the leadership again if this VM held it before the store came back
// from a copy, so that a holder is known before one is needed.
func (k *Controller) reclaimInANewEra(ctx context.Context) {
	era := k.c.Board.Upstreams.Load().Revision.Era
	if era == k.era {
		return
	}
	k.era = era
	if k.leadership.lostToANewEra(era) {
		recovery.Go(ctx, &k.running, k.c.Log, part, k.leadership.reclaim)
	}
}

// startReplacements starts a replacement for each cluster that needs one.
func (k *Controller) startReplacements(ctx context.Context) {
	now := k.c.Clock()
	for service, c := range k.c.Board.Clusters.All() {
		cause := lead.Assess(c.View.Load(), c.PeerReport.Load(), now)
		if cause == lead.CauseNone {
			continue
		}
		lastAttempt, ok := k.tryStart(service, now)
		if !ok {
			continue
		}
		k.replacing.Add(1)
		k.running.Go(func() {
			defer k.replacing.Done()
			k.replace(ctx, service, c, cause, lastAttempt)
		})
	}
}

// tryStart marks a cluster as in progress, and returns when the last attempt on it
// ended. It returns false if the cluster is in progress already or in its pause.
func (k *Controller) tryStart(service chervilladder.ServiceID, now time.Time) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inProgress[service] || now.Before(k.backoffUntil[service]) {
		return time.Time{}, false
	}
	k.inProgress[service] = true
	return k.lastAttempt[service], true
}

func (k *Controller) finish(service chervilladder.ServiceID, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inProgress[service] = false
	k.lastAttempt[service] = k.c.Clock()
	k.backoffUntil[service] = k.lastAttempt[service].Add(pause)
}

// outcomes are the log messages of a success, by whether the primary was replaced.
var outcomes = map[bool]string{true: "primary replaced", false: "members corrected"}

// replace makes one attempt to correct a cluster, in most cases by replacing its
// primary.
func (k *Controller) replace(ctx context.Context, service chervilladder.ServiceID, c *blackboard.Cluster, cause lead.Cause, lastAttempt time.Time) {
	began := k.c.Clock()
	view := c.View.Load()
	log := k.c.Log.WithFields(logrus.Fields{
		"service": service, "cause": cause, "primary": view.Primary, "term": view.Term,
	})
	r := &replacement{k: k, service: service, cluster: c, view: view, cause: cause, log: log, lastAttempt: lastAttempt}
	var err error
	// A panic ends this attempt: a later one finds replicas that stay paused.
	if panicked := recovery.Call(k.c.Log, part, func() { err = r.run(ctx) }); panicked != nil {
		err = panicked
	}
	pause := backOff
	switch {
	case err == nil && cause == lead.CauseCutOff:
		pause = cutOffPause
	case err == nil && cause == lead.CauseLagging:
		pause = laggingPause
	}
	k.finish(service, pause)
	k.noteBehind(service, err)
	count(cause, outcomeOf(err, r.replacesPrimary()))
	r.logEnd(err, k.c.Clock().Sub(began))
}
