// Package group supervises the groups of the databases that this VM owns: it
// polls the members' statuses, holds the ownership claim at the primary, and
// replaces a primary that has failed. It writes the group section of each
// database. Only daemon.Run starts it; daemon.RunOnPlatform starts package
// failover instead.
package group

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/promotion"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Dialer opens a control connection to an upstream.
type Dialer func(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, error)

// part names this package in reports of panics.
const part recovery.Part = "group"

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Dial  Dialer
	Log   *logrus.Logger
	// Heartbeat is the interval of periodic status requests to a member
	// while the database is in use or its group is unhealthy.
	Heartbeat time.Duration
	// IdleHeartbeat replaces Heartbeat while the database is idle. It bounds
	// the additional time until a failure of an idle database is detected.
	IdleHeartbeat time.Duration
	// IdleAfter is how long a database must have been unused to be idle.
	IdleAfter time.Duration
	// CallTimeout bounds a call to a member.
	CallTimeout time.Duration
	// ClaimBackoff is how long the VM doesn't claim a database again after
	// another VM took over its claim.
	ClaimBackoff time.Duration
	// Releaser asks the previous owner of a database to finish its work
	// before the claim is taken; nil means that claims are taken at once.
	Releaser chervilladder.Releaser
	// ReleaseTimeout bounds the wait for the previous owner, and for the work
	// in flight of this VM once it is no longer the owner.
	ReleaseTimeout time.Duration
	Promotion      promotion.Config
}

// Controller runs a supervisor for each database that this VM owns.
type Controller struct {
	Config
	running map[chervilladder.DatabaseID]*supervisor
	retired chan chervilladder.DatabaseID
	wait    sync.WaitGroup
}

// New returns a controller. Zero durations get their defaults.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Dial == nil || c.Log == nil {
		return nil, fmt.Errorf("group: board, dialer and log are required")
	}
	setDefault(&c.Heartbeat, 200*time.Millisecond)
	setDefault(&c.IdleHeartbeat, time.Second)
	setDefault(&c.IdleAfter, 10*time.Second)
	setDefault(&c.CallTimeout, 400*time.Millisecond)
	setDefault(&c.ClaimBackoff, 2*time.Second)
	setDefault(&c.Promotion.SuspectAfter, 700*time.Millisecond)
	setDefault(&c.Promotion.FreshFor, time.Second)
	setDefault(&c.ReleaseTimeout, 15*time.Second)
	return &Controller{
		Config:  c,
		retired: make(chan chervilladder.DatabaseID),
	}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run supervises owned databases until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer c.wait.Wait()
	defer stop()
	defer c.stopAll()
	c.running = make(map[chervilladder.DatabaseID]*supervisor) // those of a run that panicked have ended
	for {
		owners, ownersChanged := c.Board.Owners.Watch()
		catalogue, catalogueChanged := c.Board.Catalogue.Watch()
		c.reconcile(ctx, owners, catalogue)
		select {
		case <-ownersChanged:
		case <-catalogueChanged:
		case id := <-c.retired:
			delete(c.running, id)
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile starts and stops supervisors so that they match ownership and
// configuration.
func (c *Controller) reconcile(ctx context.Context, owners blackboard.Owners, catalogue *chervilladder.Catalogue) {
	for id, s := range c.running {
		if !c.owned(id, owners, catalogue) && !s.retiring.Swap(true) {
			c.retire(ctx, s)
		}
	}
	if catalogue == nil {
		return
	}
	for id, db := range catalogue.Databases {
		if !c.owned(id, owners, catalogue) {
			continue
		}
		if s, ok := c.running[id]; ok {
			s.database.Store(db)
			continue
		}
		c.running[id] = c.start(ctx, db)
	}
}

func (c *Controller) owned(id chervilladder.DatabaseID, owners blackboard.Owners, catalogue *chervilladder.Catalogue) bool {
	if catalogue == nil || owners.ByDatabase[id] != c.Board.Self.ID {
		return false
	}
	_, ok := catalogue.Databases[id]
	return ok
}

func (c *Controller) start(ctx context.Context, db *chervilladder.Database) *supervisor {
	ctx, stop := context.WithCancel(ctx)
	s := &supervisor{
		Config: c.Config,
		id:     db.ID,
		state:  c.Board.Databases.Get(db.ID),
		stop:   stop,
		log:    c.Log.WithField("database", db.ID),
	}
	s.database.Store(db)
	recovery.Go(ctx, &s.running, c.Log, part, s.run)
	c.wait.Go(s.running.Wait)
	return s
}

// retire stops a supervisor once its work in flight has ended. Until then the
// supervisor stays in c.running, so that no second one is started for the same
// database.
func (c *Controller) retire(ctx context.Context, s *supervisor) {
	c.wait.Go(func() {
		s.retire(ctx)
		s.running.Wait()
		select {
		case c.retired <- s.id:
		case <-ctx.Done():
		}
	})
}

func (c *Controller) stopAll() {
	for _, s := range c.running {
		s.stop()
	}
}
