package membership

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

// listWatchers is how many VMs poll the platform's list of VMs frequently. They
// announce to the others which VMs leave.
const listWatchers = 3

const listTask rendezvous.Task = "vm-list"

// Lookups holds the intervals at which the platform's list of VMs is polled.
type Lookups struct {
	// Often is for the listWatchers that poll for all, and for a VM that knows no
	// other one.
	Often time.Duration
	// Seldom is for all other VMs.
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

// pollLists polls the platform's list of VMs. It runs in a goroutine of its own, so
// that a slow platform doesn't delay probes.
func (c *Controller) pollLists(ctx context.Context, lists chan<- []chervilladder.VM) {
	var last time.Time
	for ctx.Err() == nil {
		if c.isListWatcher() || time.Since(last) >= c.Lookups.Seldom {
			last = time.Now()
			c.pollList(ctx, lists)
		}
		sleep(ctx, c.Lookups.Often)
	}
}

func (c *Controller) pollList(ctx context.Context, lists chan<- []chervilladder.VM) {
	list, err := c.Platform.VMs(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.Log.WithError(err).Warn("membership: reading the platform's list of VMs failed")
		}
		return
	}
	select {
	case lists <- list:
	case <-ctx.Done():
	}
}

func (c *Controller) isListWatcher() bool {
	candidates := c.Board.Members.Load().Candidates()
	if len(candidates) < 2 {
		return true
	}
	return rendezvous.Chosen(listTask, c.Board.Self.ID, candidates, listWatchers)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
