package configuration

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
	"github.com/chervilladder/chervilladder/internal/publish"
)

// watchers is the number of VMs that watch the index for all VMs.
const watchers = 3

const watchTask rendezvous.Task = "configuration"

// followPlatform watches the index while this VM is one of the watchers, and reads
// it every PollEvery otherwise.
func (c *Controller) followPlatform(ctx context.Context) {
	c.awaitPeers(ctx)
	lastRead := time.Now()
	var version chervilladder.Version
	for ctx.Err() == nil {
		if !c.isWatcher() {
			if time.Since(lastRead) >= c.PollEvery {
				lastRead = time.Now()
				c.logFailure(ctx, c.refresh(ctx))
			}
			version = 0
			pause(ctx, c.RetryEvery)
			continue
		}
		next, err := c.watch(ctx, version)
		if err != nil {
			c.logFailure(ctx, err)
			pause(ctx, c.RetryEvery)
		}
		version, lastRead = next, time.Now()
	}
}

// awaitPeers waits up to JoinTimeout for a configuration from a peer. A whole
// configuration takes one call to a peer, but many objects from the platform.
func (c *Controller) awaitPeers(ctx context.Context) {
	timeout := time.NewTimer(c.JoinTimeout)
	defer timeout.Stop()
	for c.Board.Published.Load().Revision == 0 {
		_, changed := c.Board.Published.Watch()
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// watch waits for a change of the index and puts the changed configuration in
// force. If nothing has changed it confirms the current revision. It returns the
// version to watch from for the next change.
func (c *Controller) watch(ctx context.Context, after chervilladder.Version) (chervilladder.Version, error) {
	objects, err := c.Platform.Watch(ctx, chervilladder.KindIndex, after)
	if err != nil {
		return after, err
	}
	if len(objects) == 0 {
		c.confirm(c.current().Revision, time.Now())
		return after, nil
	}
	if err := c.refresh(ctx); err != nil {
		return after, err
	}
	for _, o := range objects {
		after = max(after, o.Version)
	}
	return after, nil
}

// refresh reads the current configuration from the platform and puts it in force.
func (c *Controller) refresh(ctx context.Context) error {
	requested := time.Now()
	b, err := publish.Refresh(ctx, c.Platform, c.current())
	if err != nil {
		return err
	}
	if err := c.Adopt(b); err != nil {
		return err
	}
	c.confirm(b.Revision, requested)
	return nil
}

func (c *Controller) logFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		c.Log.WithError(err).Warn("configuration: could not read the platform")
	}
}

// isWatcher reports whether this VM is one of those that watch the index.
func (c *Controller) isWatcher() bool {
	candidates := c.Board.Members.Load().Candidates()
	return len(candidates) < 2 || rendezvous.Chosen(watchTask, c.Board.Self.ID, candidates, watchers)
}
