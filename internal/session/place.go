package session

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
	"github.com/chervilladder/chervilladder/internal/link"
)

// placement is a slot of a member.
type placement struct {
	cluster *blackboard.Cluster
	ticket  *schedule.Ticket
	member  blackboard.Enrolled
	pool    *link.Pool
	// primary is set if the member was taken for the primary.
	primary bool
	// since is what the member's log must hold.
	since chervilladder.Mark
	// asked is when the slot was granted, by the VM's own clock.
	asked time.Time
}

func (p *placement) release() { p.cluster.Queue.Release(p.ticket) }

// The refusals of a placement. Nothing was sent.
var (
	errNoProof = errors.New("no proof that the primary is the newest")
	errMoved   = errors.New("another member is the primary by now")
)

// comeBack is when a retry makes sense of work that this VM can't have run: another
// VM may, and this one asks its members several times in between.
const comeBack = 300 * time.Millisecond

// reachable returns an error if this VM can have nothing run that needs the primary.
func (m *Manager) reachable(db chervilladder.DatabaseID, c *blackboard.Cluster) error {
	if !lead.OutOfReach(c.View.Load(), c.Testimony.Load(), m.c.Clock()) {
		return nil
	}
	return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonNoPrimary, RetryAfter: comeBack}
}

// reachable is the same for the work.
func (w *work) reachable() error { return w.session.m.reachable(w.session.db, w.cluster) }

// place waits for a slot of a member that may run the work.
func (w *work) place(ctx context.Context, access chervilladder.Access) (*placement, error) {
	w.access = access
	if w.needsPrimary() {
		if err := w.reachable(); err != nil {
			return nil, err
		}
	}
	bound, err := w.bound(ctx, access)
	if err != nil {
		return nil, err
	}
	for {
		t := w.ticket(access)
		if access == chervilladder.AccessRead {
			t.ReplicaOnlyUntil = w.arrived
			t.Readable = func(id chervilladder.UpstreamID) bool { return w.readable(id, bound) }
		}
		id, err := w.await(ctx, t)
		if err != nil {
			return nil, err
		}
		p, err := w.granting(ctx, t, id, bound)
		if err == nil {
			return p, nil
		}
		w.cluster.Queue.Release(t)
		if !errors.Is(err, errMoved) {
			return nil, err
		}
		if !w.pause(ctx, movedPause) {
			return nil, err
		}
	}
}

// movedPause is how long work waits for the queue to learn of a new primary.
const movedPause = 5 * time.Millisecond

// pause lets time pass, and reports whether the work still has some left.
func (w *work) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// await waits until a ticket is granted a slot.
func (w *work) await(ctx context.Context, t *schedule.Ticket) (chervilladder.UpstreamID, error) {
	if err := w.cluster.Queue.Submit(t); err != nil {
		return "", err
	}
	select {
	case id, ok := <-t.Granted():
		if !ok {
			return "", t.Refused()
		}
		return id, nil
	case <-ctx.Done():
		w.cluster.Queue.Withdraw(t)
		return "", context.Cause(ctx)
	}
}

func (w *work) ticket(access chervilladder.Access) *schedule.Ticket {
	return &schedule.Ticket{
		Database: w.session.db,
		Priority: w.route.Priority,
		Class:    chervilladder.ClassID(w.session.db),
		Service:  w.route.Service,
		Caller:   w.session.caller,
		Target:   w.route.Target,
		Deadline: w.deadline,
		Access:   access,
	}
}

// granting turns a granted slot into a placement.
func (w *work) granting(ctx context.Context, t *schedule.Ticket, id chervilladder.UpstreamID, bound floor) (*placement, error) {
	view := w.cluster.View.Load()
	s, ok := view.Members[id]
	if !ok {
		return nil, errMoved
	}
	p := &placement{cluster: w.cluster, ticket: t, member: s.Enrolled, primary: id == view.Primary, since: bound.mark}
	if !p.primary && w.needsPrimary() {
		return nil, errMoved // the queue has not learnt of the new primary yet
	}
	if p.primary && view.Term > bound.mark.Term {
		// The mark may be of a commit that no replica had received when
		// this primary took over; its log is now what counts.
		p.since = chervilladder.Mark{}
	}
	if p.primary && w.needsProof(p) {
		if err := w.prove(ctx, id); err != nil {
			return nil, err
		}
	}
	p.pool = w.session.m.c.Pools.For(s.Registered)
	p.asked = w.session.m.c.Clock()
	w.granted, w.upstream, w.since = time.Now(), id, p.since
	return p, nil
}

// needsPrimary reports whether the work runs at the primary only.
func (w *work) needsPrimary() bool {
	return w.access == chervilladder.AccessWrite || w.route.Freshness == chervilladder.FreshPrimary
}

// needsProof reports whether the work may read, and what its upstream's log
// holds does not already tell that it reads enough.
func (w *work) needsProof(p *placement) bool {
	if !w.inTransaction && w.access == chervilladder.AccessWrite {
		return false
	}
	bounded := w.access == chervilladder.AccessRead && w.route.Freshness != chervilladder.FreshPrimary
	return !bounded || p.since == (chervilladder.Mark{})
}

// prove waits until a member is certain to have been the newest primary at the
// time that the work arrived. The proof must be of that member: while it is
// waited for, another one may become the primary.
func (w *work) prove(ctx context.Context, id chervilladder.UpstreamID) error {
	proven := func(v blackboard.ClusterView) bool { return v.Primary == id && lead.Proven(v, w.seen) }
	settled := func(v blackboard.ClusterView) bool { return v.Primary != id || proven(v) }
	if !settled(w.cluster.View.Load()) {
		w.cluster.Wanted.Ask()
		if !w.cluster.Await(ctx, settled) {
			return errNoProof
		}
	}
	if !proven(w.cluster.View.Load()) {
		return errMoved
	}
	return nil
}

// bound returns what a replica's log must hold for the work to run there.
func (w *work) bound(ctx context.Context, access chervilladder.Access) (floor, error) {
	own := w.floor
	if access == chervilladder.AccessWrite || w.route.Freshness == chervilladder.FreshPrimary {
		return own, nil
	}
	for {
		if mark, ok := w.cluster.Positions.Load().Bound(w.route.MaxAge, w.seen); ok {
			if own.mark.Covers(mark) {
				return own, nil
			}
			return floor{mark: mark, at: w.seen.Add(-w.route.MaxAge)}, nil
		}
		if err := w.reachable(); err != nil {
			return own, err
		}
		_, changed := w.cluster.Positions.Watch()
		w.cluster.Wanted.Ask()
		select {
		case <-changed:
		case <-ctx.Done():
			return own, errNoProof
		}
	}
}

// applyMargin is by how much a replica's lag is overestimated, to spare it
// reads that it would refuse.
const applyMargin = 10 * time.Millisecond

// readable reports whether a replica is likely to hold a mark by now. It is
// the replica that decides, by its own log.
func (w *work) readable(id chervilladder.UpstreamID, bound floor) bool {
	if w.excluded[id] || w.route.Freshness == chervilladder.FreshPrimary {
		return false
	}
	s := w.cluster.View.Load().Members[id]
	if !s.Answers() || s.Leaves() {
		return false
	}
	if w.cluster.Applied.Get(id).Load().Covers(bound.mark) {
		return true
	}
	return w.session.m.c.Clock().Sub(bound.at) >= s.Status.Lag+applyMargin
}

// learn takes note of what an answer tells of its member.
func (w *work) learn(p *placement, r chervilladder.Result) {
	if r.Mark == (chervilladder.Mark{}) {
		return
	}
	w.cluster.Applied.Get(p.member.ID).Raise(r.Mark)
	if !p.primary || r.Code == chervilladder.CodeReadOnly {
		return
	}
	Sample(w.cluster, freshness.Sample{Asked: p.asked, Mark: r.Mark})
}

// Sample adds a position of the primary to a cluster's history if the primary
// was certainly the newest when it was asked.
func Sample(c *blackboard.Cluster, s freshness.Sample) {
	if !c.Positions.Load().Wants(s) {
		return
	}
	if v := c.View.Load(); v.Term != s.Mark.Term || !lead.Proven(v, s.Asked) {
		return
	}
	c.Positions.Update(func(h freshness.History) freshness.History { return h.With(s) })
}

// refused is the answer to work that was given no slot.
func (w *work) refused(err error) chervilladder.Result {
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) {
		if notRun.Reason == chervilladder.ReasonDeadline || notRun.Reason == chervilladder.ReasonOverload {
			w.cluster.Shed.Raise(w.session.m.c.Clock())
		}
		return failure(chervilladder.CodeBusy, fmt.Sprintf("%s; retry after %d ms", notRun.Reason, notRun.RetryAfter.Milliseconds()))
	}
	return failure(answer.Unsent(err), err.Error())
}
