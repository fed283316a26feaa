package upstream

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/route"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// queue submits the work to the queue. A read is valid only under the term and the claim
// at the time when its session's minimum position was looked up.
func (x *exchange) queue() error {
	g := x.state.Group.Load()
	x.term, x.claim = g.Term, g.Claim
	x.waiting = true
	minPosition := x.state.MinimumPositions.Get(x.work.Session)
	minPosition.Written = minPosition.Written.Later(x.work.Seen)
	x.ticket = &schedule.Ticket{
		Priority:         x.class.Priority,
		Class:            x.class.ID,
		Service:          x.work.Service,
		Caller:           x.work.Caller,
		FloorPercent:     x.class.FloorPercent,
		Deadline:         x.work.Deadline,
		Access:           x.work.Access,
		Readable:         func(id chervilladder.UpstreamID) bool { return x.mayRead(minPosition, id) },
		ReplicaOnlyUntil: time.Now().Add(x.class.Target / 2),
	}
	if err := x.state.Queue.Submit(x.ticket); err != nil {
		x.waiting = false
		return err
	}
	return x.accountMemory(x.batch)
}

// mayRead reports whether a replica may serve the read now.
func (x *exchange) mayRead(minPosition blackboard.MinimumPosition, id chervilladder.UpstreamID) bool {
	g := x.state.Group.Load()
	if !x.acceptsStale() {
		return route.MayRead(g, minPosition, id)
	}
	return route.MayReadAged(g, minPosition, id, route.Aged{
		Accepted: x.class.AcceptedAge,
		History:  x.state.Positions.Load(),
		Now:      time.Now(),
	})
}

// acceptsStale reports whether the work is a read that accepts stale data.
func (x *exchange) acceptsStale() bool {
	return x.work.Access == chervilladder.AccessRead && x.class.AcceptedAge > 0
}

// awaitUsableSlot waits for a slot that is still valid in the current state of the group.
// It returns the claim to which its connection must be bound; zero on a replica.
func (x *exchange) awaitUsableSlot() (chervilladder.Claim, error) {
	for {
		if err := x.awaitSlot(); err != nil {
			return 0, err
		}
		g := x.state.Group.Load()
		onPrimary := x.member == g.Primary
		read := x.work.Access == chervilladder.AccessRead
		switch {
		case read && g.Term == x.term && g.Claim == x.claim:
		case x.acceptsStale() && !onPrimary && route.WithoutPrimary(g):
		case !read && onPrimary:
			x.term, x.claim = g.Term, g.Claim
		default:
			x.abandon()
			if err := x.queue(); err != nil {
				return 0, err
			}
			continue
		}
		if onPrimary {
			return g.Claim, nil
		}
		return 0, nil
	}
}

func (x *exchange) awaitSlot() error {
	ctx, cancel := context.WithDeadline(x.ctx, x.work.Deadline)
	defer cancel()
	allowPrimary := time.NewTimer(time.Until(x.ticket.ReplicaOnlyUntil))
	defer allowPrimary.Stop()
	for {
		select {
		case member, granted := <-x.ticket.Granted():
			x.waiting = false
			if !granted {
				return x.ticket.Refused()
			}
			x.member = member
			return nil
		case <-allowPrimary.C:
			x.state.Queue.AllowPrimary(x.ticket)
		case <-x.waitCancelled:
			x.stopWaiting()
			return x.notRun(chervilladder.ReasonCancelled, nil)
		case <-ctx.Done():
			x.stopWaiting()
			return x.notRun(x.waitReason(), context.Cause(ctx))
		}
	}
}

func (x *exchange) stopWaiting() {
	x.waiting = false
	x.state.Queue.Withdraw(x.ticket)
}

func (x *exchange) waitReason() chervilladder.Reason {
	if !x.state.Group.Load().Open() {
		return chervilladder.ReasonNoPrimary
	}
	return chervilladder.ReasonDeadline
}

// accountMemory accounts for the memory of a batch that waits for its slot.
func (x *exchange) accountMemory(b chervilladder.Batch) error {
	if !x.waiting {
		return nil
	}
	err := x.state.Queue.ReserveMemory(x.ticket, len(b.Payload))
	x.waiting = err == nil
	return err
}
