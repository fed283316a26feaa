// Package routing keeps the operator's current configuration, of routes, services and
// limits, on the blackboard. Only daemon.RunOnPlatform starts it; daemon.Run starts
// package configuration instead.
package routing

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/follow"
	"github.com/chervilladder/chervilladder/internal/decide/storereaders"
)

// Timing of the calls to the source.
const (
	// maxWait and minWait bound how long a watch waits for a change.
	maxWait = 2 * time.Second
	minWait = 300 * time.Millisecond
	// readReserve is the additional time, after that wait, to notice that a
	// watch no longer reports changes and to read the configuration.
	readReserve = time.Second
	// retryAfter is the mean pause after a call that failed.
	retryAfter = 100 * time.Millisecond
)

// Config configures a Controller.
type Config struct {
	Board  *blackboard.Board
	Source chervilladder.RoutingSource
	Log    *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Routing.
type Controller struct {
	c Config
	// applying serialises updates from the store and from peers.
	applying sync.Mutex
	// after is the revision from which the watch continues; zero means that
	// the whole configuration is to be read again.
	after chervilladder.StoreRevision
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Source == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("routing: a board, a source, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run follows the configuration until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	loop := follow.Loop{
		Name: "routing", Log: k.c.Log, RetryAfter: retryAfter, Step: k.step,
		Board: k.c.Board, Answered: &k.c.Board.RoutingAnswered, Clock: k.c.Clock, ApplyFromPeer: k.applyFromPeer,
	}
	loop.Run(ctx)
	return nil
}

// applyFromPeer applies a peer's configuration if it is newer.
func (k *Controller) applyFromPeer(received blackboard.Knowledge) {
	if received.Routing != nil {
		k.apply(received.Routing)
	}
}

// step makes one call to the source and applies its result.
func (k *Controller) step(ctx context.Context) error {
	if k.after.Revision == 0 {
		r, revision, err := k.c.Source.Current(ctx)
		var notFound *chervilladder.NotFoundError
		if errors.As(err, &notFound) {
			k.after = revision // the watch returns the first configuration
			return nil
		}
		if err != nil {
			return err
		}
		k.after = revision
		k.apply(r)
		return nil
	}
	r, revision, err := k.c.Source.Next(ctx, k.after, k.watchWait())
	var historyLost *chervilladder.HistoryLostError
	if errors.As(err, &historyLost) {
		k.c.Log.WithField("after", k.after).Info("routing: the store no longer has the changes since this revision; reading the configuration again")
		k.after = chervilladder.StoreRevision{}
		return nil
	}
	if err != nil {
		k.after = chervilladder.StoreRevision{} // read the whole configuration, as changes may have been missed
		return err
	}
	k.after = revision
	if r != nil {
		k.apply(r)
	}
	return nil
}

// watchWait returns how long a watch waits. It is short enough for a configuration
// to be in force in time even if the watch no longer reports changes.
func (k *Controller) watchWait() time.Duration {
	limit := k.c.Board.Bounds.Load().ConfigInForce
	if k.c.Board.StoreAccess.Load().ForPeers {
		return storereaders.Wait(limit)
	}
	if limit <= 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, limit-readReserve))
}

// apply puts a configuration in force unless it or a newer one already is.
func (k *Controller) apply(received *chervilladder.Routing) {
	k.applying.Lock()
	defer k.applying.Unlock()
	old := k.c.Board.Routing.Load()
	newest := chervilladder.NewestRouting(old, received)
	if newest == old {
		return
	}
	if old != nil && received.Version < old.Version {
		k.logKept(old, received)
	} else {
		newest = withLastAccounts(newest, old)
		k.logInForce(newest)
	}
	k.c.Board.Routing.Store(newest)
}

func (k *Controller) logInForce(r *chervilladder.Routing) {
	fields := logrus.Fields{"version": r.Version, "revision": r.Revision, "routes": len(r.Routes), "services": len(r.Services)}
	if r.Accounts != nil {
		fields["keys"] = len(r.Accounts.Keys)
	}
	k.c.Log.WithFields(fields).Info("routing: configuration in force")
}

func (k *Controller) logKept(kept, received *chervilladder.Routing) {
	k.c.Log.WithFields(logrus.Fields{
		"version": received.Version, "revision": received.Revision, "in-force": kept.Version,
	}).Warn("routing: a configuration of a lower version is not put in force; the store may have come back from an older copy")
}

// withLastAccounts returns a configuration in which client accounts that can't be used
// stay as they were.
func withLastAccounts(r, old *chervilladder.Routing) *chervilladder.Routing {
	if r.Accounts == nil || len(r.Accounts.Invalid) == 0 {
		return r
	}
	var before *chervilladder.Accounts
	if old != nil {
		before = old.Accounts
	}
	next := *r
	next.Accounts = r.Accounts.KeepLast(before)
	return &next
}
