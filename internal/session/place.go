package session

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
	"github.com/chervilladder/chervilladder/internal/link"
)

// placement is a granted slot of a member.
type placement struct {
	cluster *blackboard.Cluster
	ticket  *schedule.Ticket
	member  blackboard.KnownUpstream
	pool    *link.Pool
	// primary is set if the member was the primary in this VM's view.
	primary bool
	// minMark is the minimum position that the member's log must hold.
	minMark chervilladder.Mark
	// grantedAt is when the slot was granted, by the VM's own clock.
	grantedAt time.Time
}

func (p *placement) release() { p.cluster.Queue.Release(p.ticket) }

// The errors of a placement. Nothing was sent.
var (
	errNoProof        = errors.New("no proof that the primary is the newest")
	errPrimaryChanged = errors.New("another member has become the primary")
)

// otherVMRetryAfter is the delay to suggest to callers whose work this VM can neither run
// nor forward, or that it no longer takes: another VM may be able to run it, and a VM polls
// its members several times in between.
const otherVMRetryAfter = 300 * time.Millisecond

// checkReachable returns an error if this VM can't run work that needs the primary. Work
// that can be forwarded has been forwarded before this check.
func (m *Manager) checkReachable(db chervilladder.DatabaseID, c *blackboard.Cluster) error {
	if !lead.PrimaryUnreachable(c.View.Load(), c.PeerReport.Load(), m.c.Clock()) {
		return nil
	}
	return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonNoPrimary, RetryAfter: otherVMRetryAfter}
}

// checkReachable is the same for the work.
func (w *work) checkReachable() error { return w.session.m.checkReachable(w.session.db, w.cluster) }

// place waits for a slot of a member that may run the work.
func (w *work) place(ctx context.Context, access chervilladder.Access) (*placement, error) {
	w.access = access
	if w.needsPrimary() {
		if err := w.checkReachable(); err != nil {
			return nil, err
		}
	}
	required, err := w.requiredPosition(ctx, access)
	if err != nil {
		return nil, err
	}
	for {
		t := w.ticket(access)
		if access == chervilladder.AccessRead {
			t.ReplicaOnlyUntil = w.arrived
			t.Readable = func(id chervilladder.UpstreamID) bool { return w.readable(id, required) }
		}
		id, err := w.awaitSlot(ctx, t)
		if err != nil {
			return nil, err
		}
		p, err := w.newPlacement(ctx, t, id, required)
		if err == nil {
			return p, nil
		}
		if !errors.Is(err, errPrimaryChanged) {
			return nil, err
		}
		if !w.sleep(ctx, primaryChangePause) {
			return nil, err
		}
	}
}

// primaryChangePause is how long work waits for the queue to be updated with a new
// primary.
const primaryChangePause = 5 * time.Millisecond

// sleep waits, and reports whether the work's context is still valid after it.
func (w *work) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitSlot waits until a ticket is granted a slot.
func (w *work) awaitSlot(ctx context.Context, t *schedule.Ticket) (chervilladder.UpstreamID, error) {
	ended := false
	defer func() {
		if !ended {
			w.cluster.Queue.Withdraw(t) // the context has ended, or the queue has panicked
		}
	}()
	if err := w.cluster.Queue.Submit(t); err != nil {
		ended = true
		return "", err
	}
	select {
	case id, ok := <-t.Granted():
		ended = true
		if !ok {
			return "", t.Refused()
		}
		return id, nil
	case <-ctx.Done():
		return "", context.Cause(ctx)
	}
}

func (w *work) ticket(access chervilladder.Access) *schedule.Ticket {
	return &schedule.Ticket{
		Database: w.session.db,
		Priority: w.route.Priority,
		Class:    chervilladder.ClassID(w.session.db),
		Service:  w.route.Service,
		Caller:   w.identity.Name,
		Target:   w.route.Target,
		Deadline: w.deadline,
		Access:   access,
	}
}

// newPlacement checks a granted slot and returns its placement. It releases the slot if
// it returns none.
func (w *work) newPlacement(ctx context.Context, t *schedule.Ticket, id chervilladder.UpstreamID, required minPosition) (*placement, error) {
	placed := false
	defer func() {
		if !placed {
			w.cluster.Queue.Release(t)
		}
	}()
	view := w.cluster.View.Load()
	o, ok := view.Members[id]
	if !ok {
		return nil, errPrimaryChanged
	}
	p := &placement{cluster: w.cluster, ticket: t, member: o.KnownUpstream, primary: id == view.Primary, minMark: required.mark}
	if !p.primary && w.needsPrimary() {
		return nil, errPrimaryChanged // the queue hasn't been updated with the new primary yet
	}
	if p.primary && view.Term > required.mark.Term {
		// The mark may belong to a commit that no replica had received when
		// this primary was promoted. Its log is now the authoritative one.
		p.minMark = chervilladder.Mark{}
	}
	if w.access == chervilladder.AccessWrite && required.mark.Term > view.Term {
		// This VM hasn't seen the primary of the term that the session has observed. A
		// write bears no position by which an outdated one would refuse it.
		w.cluster.PollTrigger.Ask()
		return nil, errPrimaryChanged
	}
	if p.primary && w.needsProof(p) {
		if err := w.awaitProof(ctx, id); err != nil {
			return nil, err
		}
	}
	p.pool = w.session.m.c.Pools.For(o.Registered)
	p.grantedAt = w.session.m.c.Clock()
	w.grantedAt, w.upstream, w.minMark = time.Now(), id, p.minMark
	placed = true
	return p, nil
}

// needsPrimary reports whether the work runs at the primary only.
func (w *work) needsPrimary() bool {
	return w.access == chervilladder.AccessWrite || w.route.Freshness == chervilladder.FreshPrimary
}

// needsProof reports whether work at the primary must wait for a proof: it may read, and
// no minimum position bounds the age of what it reads.
func (w *work) needsProof(p *placement) bool {
	if !w.inTransaction && w.access == chervilladder.AccessWrite {
		return false
	}
	acceptsOlder := w.access == chervilladder.AccessRead && w.route.Freshness != chervilladder.FreshPrimary
	return !acceptsOlder || p.minMark == (chervilladder.Mark{})
}

// awaitProof waits until a member is proven to have been the newest primary when the
// work arrived. The proof must be of that member: another one may become the primary
// during the wait.
func (w *work) awaitProof(ctx context.Context, id chervilladder.UpstreamID) error {
	proven := func(v blackboard.ClusterView) bool { return v.Primary == id && lead.Proven(v, w.asOf) }
	settled := func(v blackboard.ClusterView) bool { return v.Primary != id || proven(v) }
	if !settled(w.cluster.View.Load()) {
		w.cluster.PollTrigger.Ask()
		if !w.cluster.Await(ctx, settled) {
			return errNoProof
		}
	}
	if !proven(w.cluster.View.Load()) {
		return errPrimaryChanged
	}
	return nil
}

// errNotKept reports a commit that a failover may lose.
var errNotKept = errors.New("a failover may be under way, and no replica that takes part in it is known to hold the commit")

// awaitKept waits until a commit that a primary has acknowledged is certain to be kept by
// a failover, and returns false if it may be lost. Without a failover it returns at once.
// The commit counts as reported from then on.
func (w *work) awaitKept(ctx context.Context, id chervilladder.UpstreamID, mark chervilladder.Mark) bool {
	clock := w.session.m.c.Clock
	c := lead.Commit{By: id, Mark: mark, AckedAt: clock()}
	c.Settled = lead.Settled(w.cluster.View.Load(), c.AckedAt)
	waited := time.NewTimer(lead.ReplyWait)
	defer waited.Stop()
	for {
		view, viewChanged := w.cluster.View.Watch()
		replacement, announced := w.cluster.Replacement.Watch()
		switch lead.FateOf(view, replacement, c, clock()) {
		case lead.FateKept:
			if view.Confirmations == 0 || w.noteReported(mark, announced) {
				return true
			}
			continue
		case lead.FateInDoubt:
			return false
		}
		w.askForStatus(view, replacement, c)
		select {
		case <-viewChanged:
		case <-announced:
		case <-waited.C:
		case <-ctx.Done():
			return false
		}
	}
}

// askForStatus asks one replica for its status, or all members if there are candidates, or
// once that one has told its own, or that it is too busy, since a commit was acknowledged.
func (w *work) askForStatus(v blackboard.ClusterView, r blackboard.Replacement, c lead.Commit) {
	id := lead.ReplicaToAsk(v)
	o := v.Members[id]
	candidates := len(r.Pending(v, w.session.m.c.Clock())) > 0
	if candidates || id == "" || !o.RequestedAt.Before(c.AckedAt) || !o.BusyAt.Before(c.AckedAt) {
		w.cluster.PollTrigger.Ask()
		return
	}
	w.cluster.StatusTriggers.Get(id).Ask()
}

// noteReported records that a commit is reported as done. It returns false if a candidate
// was announced since the commit was judged: whoever announced it may have read what was
// reported until then.
func (w *work) noteReported(mark chervilladder.Mark, announced <-chan struct{}) bool {
	w.cluster.Reported.Raise(mark)
	select {
	case <-announced:
		return false
	default:
		return true
	}
}

// requiredPosition returns the minimum position that a replica must have replayed for
// the work to run there.
func (w *work) requiredPosition(ctx context.Context, access chervilladder.Access) (minPosition, error) {
	own := w.minPosition
	if access == chervilladder.AccessWrite || w.route.Freshness == chervilladder.FreshPrimary {
		return own, nil
	}
	for {
		if mark, ok := w.cluster.Positions.Load().Bound(w.route.MaxAge, w.asOf); ok {
			if own.mark.Covers(mark) {
				return own, nil
			}
			return minPosition{mark: mark, at: w.asOf.Add(-w.route.MaxAge)}, nil
		}
		if err := w.checkReachable(); err != nil {
			return own, err
		}
		_, changed := w.cluster.Positions.Watch()
		w.cluster.PollTrigger.Ask()
		select {
		case <-changed:
		case <-ctx.Done():
			return own, errNoProof
		}
	}
}

// applyMargin is added to a replica's replication lag, so that it is sent fewer reads
// that it would refuse.
const applyMargin = 10 * time.Millisecond

// readable reports whether a replica has likely replayed the required position. The
// replica itself decides, by its own log.
func (w *work) readable(id chervilladder.UpstreamID, required minPosition) bool {
	if w.excluded[id] || w.route.Freshness == chervilladder.FreshPrimary {
		return false
	}
	o := w.cluster.View.Load().Members[id]
	if !o.Answers() || o.Leaves() {
		return false
	}
	if w.cluster.Applied.Get(id).Load().Covers(required.mark) {
		return true
	}
	return w.session.m.c.Clock().Sub(required.at) >= o.Status.Lag+applyMargin
}

// recordMark records the log position that an answer reports of its member.
func (w *work) recordMark(p *placement, r chervilladder.Result) {
	if r.Mark == (chervilladder.Mark{}) {
		return
	}
	w.cluster.Applied.Get(p.member.ID).Raise(r.Mark)
	if !p.primary || r.Code == chervilladder.CodeReadOnly {
		return
	}
	AddSample(w.cluster, freshness.Sample{RequestedAt: p.grantedAt, Mark: r.Mark})
}

// AddSample adds a position of the primary to a cluster's history if the primary
// is proven to have been the newest when the sample was requested.
func AddSample(c *blackboard.Cluster, s freshness.Sample) {
	if !c.Positions.Load().Wants(s) {
		return
	}
	if v := c.View.Load(); v.Term != s.Mark.Term || !lead.Proven(v, s.RequestedAt) {
		return
	}
	c.Positions.Update(func(h freshness.History) freshness.History { return h.With(s) })
}

// refusal returns the answer to work that failed before its command was sent: it got no
// slot, or its connection couldn't be set up.
func (w *work) refusal(err error) chervilladder.Result {
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		w.refused = notRun.Reason
		if notRun.Reason == chervilladder.ReasonDeadline || notRun.Reason == chervilladder.ReasonOverload {
			w.cluster.LastShed.Raise(w.session.m.c.Clock())
		}
		return failure(chervilladder.CodeBusy, notRun.Refusal())
	}
	return failure(answer.Unsent(err), err.Error())
}
