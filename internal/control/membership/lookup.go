package membership

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

// listWatchers is how many VMs look at the platform's list often. They tell
// the others which VMs leave.
const listWatchers = 3

const listTask rendezvous.Task = "vm-list"

// Lookups is the time between looks at the platform's list.
type Lookups struct {
	// Often is for the VMs that look for all, and for one that knows no
	// other.
	Often time.Duration
	// Seldom is for the others.
	Seldom time.Duration
}

func (l *Lookups) setDefaults() {
	if l.Often == 0 {
		l.Often = time.Second
	}
	if l.Seldom == 0 {
		l.Seldom = 5 * time.Minute
	}
}

// lookUp reads the platform's list now and then, on its own so that a slow
// platform holds up no probe.
func (c *Controller) lookUp(ctx context.Context, lists chan<- []chervilladder.VM) {
	var last time.Time
	for ctx.Err() == nil {
		if c.looksOften() || time.Since(last) >= c.Lookups.Seldom {
			last = time.Now()
			c.lookUpOnce(ctx, lists)
		}
		pause(ctx, c.Lookups.Often)
	}
}

func (c *Controller) lookUpOnce(ctx context.Context, lists chan<- []chervilladder.VM) {
	list, err := c.Platform.VMs(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.Log.WithError(err).Warn("membership: platform does not answer")
		}
		return
	}
	select {
	case lists <- list:
	case <-ctx.Done():
	}
}

func (c *Controller) looksOften() bool {
	candidates := c.Board.Members.Load().Candidates()
	if len(candidates) < 2 {
		return true
	}
	return rendezvous.Chosen(listTask, c.Board.Self.ID, candidates, listWatchers)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
