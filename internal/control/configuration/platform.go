package configuration

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
	"github.com/chervilladder/chervilladder/internal/publish"
)

// watchers is how many VMs watch the index for all.
const watchers = 3

const watchTask rendezvous.Task = "configuration"

// followPlatform watches the index while this VM is one of the watchers, and
// looks at it seldom otherwise.
func (c *Controller) followPlatform(ctx context.Context) {
	c.awaitPeers(ctx)
	looked := time.Now()
	var version chervilladder.Version
	for ctx.Err() == nil {
		if !c.watches() {
			if time.Since(looked) >= c.PollEvery {
				looked = time.Now()
				c.report(ctx, c.refresh(ctx))
			}
			version = 0
			pause(ctx, c.RetryEvery)
			continue
		}
		next, err := c.watch(ctx, version)
		if err != nil {
			c.report(ctx, err)
			pause(ctx, c.RetryEvery)
		}
		version, looked = next, time.Now()
	}
}

// awaitPeers gives peers the time to tell what is in force. A whole
// configuration is many objects at the platform, and one answer of a peer.
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

// watch waits for a change of the index and puts it in force. It returns the
// version after which the next change is to be looked for.
func (c *Controller) watch(ctx context.Context, after chervilladder.Version) (chervilladder.Version, error) {
	objects, err := c.Platform.Watch(ctx, chervilladder.KindIndex, after)
	if err != nil {
		return after, err
	}
	if len(objects) == 0 {
		c.confirm(c.held().Revision, time.Now())
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

// refresh reads what is in force at the platform.
func (c *Controller) refresh(ctx context.Context) error {
	asked := time.Now()
	b, err := publish.Update(ctx, c.Platform, c.held())
	if err != nil {
		return err
	}
	if err := c.Adopt(b); err != nil {
		return err
	}
	c.confirm(b.Revision, asked)
	return nil
}

func (c *Controller) report(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		c.Log.WithError(err).Warn("configuration: not read from the platform")
	}
}

// watches reports whether this VM is one of those that watch the index.
func (c *Controller) watches() bool {
	candidates := c.Board.Members.Load().Candidates()
	return len(candidates) < 2 || rendezvous.Chosen(watchTask, c.Board.Self.ID, candidates, watchers)
}
