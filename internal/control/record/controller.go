package record

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// Config configures a Controller.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Log      *logrus.Logger
	// Pace is the time between two calls to the platform.
	Pace time.Duration
	// CallTimeout bounds a call to the platform.
	CallTimeout time.Duration
	// MaxBackoff bounds the wait after failed calls.
	MaxBackoff time.Duration
}

// Controller writes the records of the databases that this VM owns.
type Controller struct {
	Config
	entries map[chervilladder.DatabaseID]*entry
	backoff time.Duration
}

// entry is the state of one database's record.
type entry struct {
	// read is set once the record and its version have been read from the
	// platform.
	read    bool
	version chervilladder.Version
	record  Record
	// pending is the record that is being written. Its attempt stays the
	// same until the outcome of the write is known.
	pending Record
}

// New returns a controller. Zero durations get their defaults.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Platform == nil || c.Log == nil {
		return nil, fmt.Errorf("record: board, platform and log are required")
	}
	setDefault(&c.Pace, 250*time.Millisecond)
	setDefault(&c.CallTimeout, 2*time.Second)
	setDefault(&c.MaxBackoff, 30*time.Second)
	return &Controller{Config: c, entries: make(map[chervilladder.DatabaseID]*entry)}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run writes records until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	pause := time.NewTimer(c.Pace)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
		case <-ctx.Done():
			return nil
		}
		pause.Reset(c.next(ctx))
	}
}

// next makes at most one call, for one record that is outdated, and returns how long
// to wait after it.
func (c *Controller) next(ctx context.Context) time.Duration {
	for id, owner := range c.Board.Owners.Load().ByDatabase {
		if owner != c.Board.Self.ID {
			delete(c.entries, id)
			continue
		}
		want, known := c.wanted(id)
		if !known {
			continue
		}
		e := c.entry(id)
		if e.read && !want.Newer(e.record) {
			continue
		}
		return c.wait(id, c.call(ctx, e, want))
	}
	return c.Pace
}

// wanted returns the record that describes this VM's view of the group. It returns
// false if the group isn't open.
func (c *Controller) wanted(id chervilladder.DatabaseID) (Record, bool) {
	state, ok := c.Board.Databases.Find(id)
	if !ok {
		return Record{}, false
	}
	g := state.Group.Load()
	if !g.Open() {
		return Record{}, false
	}
	return Record{Database: id, Primary: g.Primary, Term: g.Term, Claim: g.Claim, Owner: c.Board.Self.ID}, true
}

func (c *Controller) entry(id chervilladder.DatabaseID) *entry {
	e, ok := c.entries[id]
	if !ok {
		e = new(entry)
		c.entries[id] = e
	}
	return e
}

// call reads the record if it hasn't been read yet, and writes it otherwise.
func (c *Controller) call(ctx context.Context, e *entry, want Record) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	if !e.read {
		return c.get(ctx, e, want.Database)
	}
	if want.Newer(e.pending) {
		e.pending = want
		e.pending.Attempt, e.pending.Since = chervilladder.AttemptID(rand.Text()), time.Now()
	}
	return c.put(ctx, e)
}

func (c *Controller) get(ctx context.Context, e *entry, id chervilladder.DatabaseID) error {
	o, err := c.Platform.Get(ctx, chervilladder.KindGroup, chervilladder.ObjectName(id))
	var notFound *chervilladder.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	e.read, e.version, e.record = true, o.Version, decode(o)
	return nil
}

// put writes the pending record. A conflict returns the stored record, which is the
// pending one if the response to an earlier call was lost.
func (c *Controller) put(ctx context.Context, e *entry) error {
	o, err := encode(e.pending, e.version)
	if err != nil {
		return err
	}
	version, err := c.Platform.Put(ctx, o)
	var conflict *chervilladder.ConflictError
	if errors.As(err, &conflict) {
		e.version, e.record = conflict.Current.Version, decode(conflict.Current)
		return nil
	}
	if err != nil {
		return err
	}
	e.version, e.record = version, e.pending
	return nil
}

// wait returns how long to wait after a call, with a random, exponential backoff up
// to MaxBackoff while calls fail.
func (c *Controller) wait(id chervilladder.DatabaseID, err error) time.Duration {
	if err == nil {
		c.backoff = 0
		return c.Pace
	}
	c.Log.WithField("database", id).WithError(err).Debug("record: call to the platform failed")
	c.backoff = min(max(2*c.backoff, c.Pace), c.MaxBackoff)
	return c.Pace + retry.Jitter(c.backoff)
}
