// Package registry keeps the registered upstreams on the blackboard. Only
// daemon.RunOnPlatform starts it.
package registry

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/follow"
	"github.com/chervilladder/chervilladder/internal/decide/storereaders"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Timing of the calls to the source, and of entries that are missing.
const (
	// maxWait and minWait bound how long a watch waits for a change. Within
	// them it waits for half of the time after which a draining upstream
	// must get no more work.
	maxWait = 3 * time.Second
	minWait = 300 * time.Millisecond
	// retryAfter is the mean pause after a call that failed.
	retryAfter = 200 * time.Millisecond
	// missingGrace is how long an upstream is kept whose entry is missing.
	// Entries that expired while the store was unavailable are registered
	// again within about two seconds of its recovery.
	missingGrace = 2500 * time.Millisecond
	// readNowWait is how long a read on request waits for a change: the least wait that
	// the store knows.
	readNowWait = time.Millisecond
	// sweepEvery is how often missing entries are checked.
	sweepEvery = 250 * time.Millisecond
)

// Config configures a Controller.
type Config struct {
	Board  *blackboard.Board
	Source chervilladder.Registry
	Log    *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Upstreams.
type Controller struct {
	c Config
	// applying serialises updates from the store and from peers.
	applying sync.Mutex
	// current is the revision up to which the list on the blackboard is current. It may be
	// later than that list's own, which rises with changes of upstreams only. Guarded by
	// applying.
	current chervilladder.StoreRevision
	// departed holds the draining upstreams that have left, for departedMemory.
	// Guarded by applying.
	departed map[chervilladder.UpstreamID]departedUpstream
	// relist is set if changes may have been missed, so that all upstreams are to be
	// listed again. Written by Run's loop only.
	relist bool
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Source == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("registry: a board, a source, a log and a clock are needed")
	}
	return &Controller{c: c, departed: make(map[chervilladder.UpstreamID]departedUpstream)}, nil
}

// Run follows the registry until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var parts sync.WaitGroup
	recovery.Go(ctx, &parts, k.c.Log, "registry", k.sweep)
	recovery.Go(ctx, &parts, k.c.Log, "registry", k.readOnRequest)
	defer parts.Wait()
	defer stop()
	loop := follow.Loop{
		Name: "registry", Log: k.c.Log, RetryAfter: retryAfter, Step: k.step,
		Board: k.c.Board, Answered: &k.c.Board.UpstreamsAnswered, Clock: k.c.Clock, ApplyFromPeer: k.applyFromPeer,
	}
	loop.Run(ctx)
	return nil
}

// applyFromPeer applies a peer's list if it is newer than the one on the
// blackboard.
func (k *Controller) applyFromPeer(received blackboard.Knowledge) {
	k.applying.Lock()
	defer k.applying.Unlock()
	if old := k.c.Board.Upstreams.Load(); received.UpstreamsRevision.After(old.Revision) {
		k.replace(received.Upstreams, report{revision: received.UpstreamsRevision, earliest: k.confirmedAt(old), drains: received.Drains})
	}
	k.learnDrains(received.Drains)
}

// report says what a list or events reflect.
type report struct {
	// revision is the store's revision of the list that results.
	revision chervilladder.StoreRevision
	// earliest is the earliest time at which what is new of it may have happened; zero if
	// that isn't known.
	earliest time.Time
	// drains says since when upstreams drain, as far as a peer knows.
	drains map[chervilladder.UpstreamID]blackboard.Drain
}

// step reads the store once, and waits for a change if there is none.
func (k *Controller) step(ctx context.Context) error {
	after := k.position()
	if k.relist || after.Revision == 0 {
		if err := k.list(ctx, after); err != nil {
			return err
		}
		k.relist = false
		return nil
	}
	err := k.watch(ctx, after, k.watchWait())
	var historyLost *chervilladder.HistoryLostError
	if errors.As(err, &historyLost) {
		k.c.Log.WithField("after", after).Info("registry: the store no longer has the changes since this revision; listing the upstreams again")
		k.relist = true
		return nil
	}
	k.relist = err != nil // as changes may have been missed
	return err
}

// position returns the revision up to which the list on the blackboard is current; zero
// if there is no list.
func (k *Controller) position() chervilladder.StoreRevision {
	k.applying.Lock()
	defer k.applying.Unlock()
	return k.current
}

// list reads the whole list and applies it, unless a newer one than that of revision after
// has been applied meanwhile.
func (k *Controller) list(ctx context.Context, after chervilladder.StoreRevision) error {
	list, revision, err := k.c.Source.List(ctx)
	if err != nil {
		return err
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	if k.current != after && k.current.After(revision) {
		return nil
	}
	k.replace(list, report{revision: revision, earliest: k.confirmedAt(k.c.Board.Upstreams.Load())})
	return nil
}

// watch reads the changes after a revision, and applies them unless newer ones have been
// applied meanwhile.
func (k *Controller) watch(ctx context.Context, after chervilladder.StoreRevision, wait time.Duration) error {
	requestedAt := k.c.Clock()
	events, revision, err := k.c.Source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	if k.current.After(revision) {
		return nil
	}
	if len(events) > 0 {
		k.change(events, report{revision: revision, earliest: k.earliestEvent(requestedAt, wait)})
	}
	k.current = revision
	return nil
}

// readOnRequest reads the changes without waiting for one, whenever another controller
// asks for it.
func (k *Controller) readOnRequest(ctx context.Context) {
	asked := k.c.Board.UpstreamsTrigger.Watch()
	for {
		select {
		case <-asked:
		case <-ctx.Done():
			return
		}
		asked = k.c.Board.UpstreamsTrigger.Watch() // before the read: a later request isn't satisfied by it
		requestedAt := k.c.Clock()
		if err := k.readNow(ctx); err != nil {
			k.c.Log.WithError(err).Info("registry: upstreams not read on request")
			continue
		}
		k.setReadAt(requestedAt)
	}
}

func (k *Controller) setReadAt(requestedAt time.Time) {
	k.applying.Lock()
	defer k.applying.Unlock()
	k.c.Board.Upstreams.Update(func(u blackboard.Upstreams) blackboard.Upstreams {
		u.ReadAt = requestedAt
		return u
	})
}

// readNow reads the changes, or the whole list if the store no longer has them.
func (k *Controller) readNow(ctx context.Context) error {
	after := k.position()
	if after.Revision == 0 {
		return k.list(ctx, after)
	}
	err := k.watch(ctx, after, readNowWait)
	var historyLost *chervilladder.HistoryLostError
	if errors.As(err, &historyLost) {
		return k.list(ctx, after)
	}
	return err
}

// watchWait returns how long a watch waits. A watch that no longer reports changes
// is noticed only after that.
func (k *Controller) watchWait() time.Duration {
	if k.c.Board.StoreAccess.Load().ForPeers {
		return storereaders.Wait(k.c.Board.Bounds.Load().ConfigInForce)
	}
	drain := k.c.Board.Bounds.Load().UpstreamDrain
	if drain <= 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, drain/2))
}

// replace applies a whole list.
func (k *Controller) replace(list []chervilladder.Registered, of report) {
	events := make([]chervilladder.RegistryEvent, 0, len(list))
	listed := make(map[chervilladder.UpstreamID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		events = append(events, chervilladder.RegistryEvent{ID: list[i].ID, Upstream: &list[i]})
	}
	for id := range k.c.Board.Upstreams.Load().ByID {
		if !listed[id] {
			events = append(events, chervilladder.RegistryEvent{ID: id, Removed: true})
		}
	}
	k.change(events, of)
}

// change applies events in order, and stores the list that results.
func (k *Controller) change(events []chervilladder.RegistryEvent, of report) {
	now := k.c.Clock()
	k.forgetDeparted(now)
	old := k.c.Board.Upstreams.Load()
	next := blackboard.Upstreams{ByID: maps.Clone(old.ByID), Known: true, Revision: of.revision, ReadAt: old.ReadAt}
	if next.ByID == nil {
		next.ByID = make(map[chervilladder.UpstreamID]blackboard.KnownUpstream)
	}
	for _, e := range events {
		before, known := next.ByID[e.ID]
		entry, keep := k.apply(before, known, e, of, now)
		switch {
		case keep && (!known || entry != before):
			next.ByID[e.ID] = entry
			k.logChange(e.ID, before, known, entry)
		case !keep && known:
			delete(next.ByID, e.ID)
			k.departed[e.ID] = departedUpstream{KnownUpstream: before, at: now}
			k.c.Log.WithField("upstream", e.ID).Info("registry: upstream left")
		}
	}
	next.AskDrainsUntil = k.askDrainsUntil(next.ByID)
	k.c.Board.Upstreams.Store(next)
	k.current = of.revision
}

// apply returns an entry as changed by an event, and whether the upstream is kept.
// An entry without an upstream counts as missing.
func (k *Controller) apply(before blackboard.KnownUpstream, known bool, e chervilladder.RegistryEvent, of report, now time.Time) (blackboard.KnownUpstream, bool) {
	if e.Removed || e.Upstream == nil {
		if !known || before.Draining {
			return before, false
		}
		if before.MissingSince.IsZero() {
			before.MissingSince = now
		}
		return before, true
	}
	if !known {
		before = k.departed[e.ID].KnownUpstream
	}
	return k.withDrain(blackboard.KnownUpstream{Registered: *e.Upstream}, before, of, now), true
}

// logChange logs a change that affects decisions.
func (k *Controller) logChange(id chervilladder.UpstreamID, before blackboard.KnownUpstream, known bool, after blackboard.KnownUpstream) {
	log := k.c.Log.WithFields(logrus.Fields{"upstream": id, "service": after.Service, "address": after.Address})
	switch {
	case !known:
		log.WithField("slots", after.Slots).Info("registry: upstream registered")
	case after.Draining && !before.Draining:
		log.WithFields(logrus.Fields{"since": k.c.Clock().Sub(after.DrainingSince).String(), "assumed": after.DrainAssumed}).Info("registry: upstream is draining")
	case !after.MissingSince.IsZero() && before.MissingSince.IsZero():
		log.Info("registry: entry of an upstream is missing; it is removed if the entry does not return")
	case !after.Born.Equal(before.Born):
		log.Info("registry: upstream restarted")
	}
}

// sweep removes upstreams whose entries have been missing for missingGrace.
func (k *Controller) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.removeExpired()
		case <-ctx.Done():
			return
		}
	}
}

func (k *Controller) removeExpired() {
	k.applying.Lock()
	defer k.applying.Unlock()
	now := k.c.Clock()
	expired := func(e blackboard.KnownUpstream) bool {
		return !e.MissingSince.IsZero() && now.Sub(e.MissingSince) >= missingGrace
	}
	anyExpired := false
	for _, e := range k.c.Board.Upstreams.Load().ByID {
		anyExpired = anyExpired || expired(e)
	}
	if !anyExpired {
		return
	}
	k.c.Board.Upstreams.Update(func(u blackboard.Upstreams) blackboard.Upstreams {
		next := u
		next.ByID = maps.Clone(u.ByID)
		for id, e := range next.ByID {
			if expired(e) {
				delete(next.ByID, id)
				k.c.Log.WithField("upstream", id).Info("registry: upstream removed, as its entry stayed missing")
			}
		}
		return next
	})
}
