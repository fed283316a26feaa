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

// PollIntervals holds the intervals at which the platform's list of VMs is polled.
type PollIntervals struct {
	// Watcher is for the listWatchers that poll for all, and for a VM that knows no
	// other one.
	Watcher time.Duration
	// Other is for all other VMs.
	Other time.Duration
}

func (p *PollIntervals) setDefaults() {
	if p.Watcher == 0 {
		p.Watcher = time.Second
	}
	if p.Other == 0 {
		p.Other = 5 * time.Minute
	}
}

// pollLists polls the platform's list of VMs. It runs in a goroutine of its own, so
// that a slow platform doesn't delay probes.
func (c *Controller) pollLists(ctx context.Context, lists chan<- []chervilladder.VM) {
	var last time.Time
	for ctx.Err() == nil {
		if c.isListWatcher() || time.Since(last) >= c.PollIntervals.Other {
			last = time.Now()
			c.pollList(ctx, lists)
		}
		sleep(ctx, c.PollIntervals.Watcher)
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
