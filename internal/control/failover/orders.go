package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/link"
)

// channel is a connection on which a member is given orders: one of its own, or
// one of the pool that the member has accepted before.
type channel struct {
	member blackboard.Sighting
	own    chervilladder.Link
	pooled *link.Conn
	// broken is set once an order had no answer.
	broken bool
}

// reach opens a channel to a member. A member that takes no more connections is
// reached on one that it has already accepted.
func (r *replacement) reach(ctx context.Context, s blackboard.Sighting) (*channel, error) {
	own, err := r.k.c.Linker.Open(ctx, s.Registered)
	if err == nil {
		return &channel{member: s, own: own}, nil
	}
	var refused *chervilladder.LinkRefusedError
	if !errors.As(err, &refused) || refused.Code != chervilladder.CodeConnectionLimit {
		return nil, err
	}
	pooled, err := r.k.c.Pools.For(s.Registered).Get(ctx, nil)
	if err != nil {
		return nil, errors.Join(refused, err)
	}
	return &channel{member: s, pooled: pooled}, nil
}

// status gives an order and returns what the member answers.
func (c *channel) status(deadline time.Time, order chervilladder.Command) (chervilladder.LinkStatus, error) {
	if c.own != nil {
		return c.own.Status(deadline, order)
	}
	status, err := c.pooled.Status(deadline, order)
	var refused *chervilladder.LinkRefusedError
	c.broken = err != nil && !errors.As(err, &refused)
	return status, err
}

func (c *channel) close() {
	switch {
	case c.own != nil:
		c.own.Close()
	case c.broken:
		c.pooled.Discard()
	default:
		c.pooled.ReleaseAsked()
	}
}

func closeAll(channels []*channel) {
	for _, c := range channels {
		c.close()
	}
}

// reachReplicas opens channels to all members but the primary, so that none is
// paused while another one can't be.
func (r *replacement) reachReplicas(ctx context.Context) ([]*channel, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var mu sync.Mutex
	var channels []*channel
	var failed error
	var opened sync.WaitGroup
	for id, s := range r.view.Members {
		if id == r.view.Primary {
			continue
		}
		opened.Go(func() {
			c, err := r.reach(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("%w: %w", errOutOfSight, err))
				return
			}
			channels = append(channels, c)
		})
	}
	opened.Wait()
	return channels, failed
}

// order gives one order to a member, on a channel opened for it.
func (r *replacement) order(ctx context.Context, s blackboard.Sighting, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	deadline := time.Now().Add(orderTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	channel, err := r.reach(ctx, s)
	if err != nil {
		r.note(s, c, chervilladder.LinkStatus{}, err)
		return chervilladder.LinkStatus{}, err
	}
	defer channel.close()
	return r.give(channel, deadline, c)
}

// give gives an order on a channel.
func (r *replacement) give(to *channel, deadline time.Time, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	status, err := to.status(deadline, c)
	r.note(to.member, c, status, err)
	return status, err
}

// note logs an order and its answer.
func (r *replacement) note(s blackboard.Sighting, c chervilladder.Command, status chervilladder.LinkStatus, err error) {
	r.log.WithFields(logrus.Fields{
		"upstream": s.ID, "order": orderNames[c.Kind], "order-term": c.Term, "error": err,
		"received": status.Received.String(), "leads": status.Primary, "status-term": status.Term, "held": status.Held,
	}).Info("failover: order given")
}

// orderNames are the names of orders in logs.
var orderNames = map[chervilladder.CommandKind]string{
	chervilladder.CommandStatus:   "status",
	chervilladder.CommandPause:    "pause",
	chervilladder.CommandResume:   "resume",
	chervilladder.CommandStepDown: "step-down",
}

// pause pauses all replicas, or for a planned replacement all but the one that
// is to take over: then the old primary goes on with that one's confirmation,
// and the candidate holds whatever is acknowledged.
func (r *replacement) pause(ctx context.Context) ([]lead.Paused, error) {
	channels, err := r.reachReplicas(ctx)
	defer closeAll(channels)
	if err != nil {
		return nil, err
	}
	spared := r.spared()
	var mu sync.Mutex
	var list []lead.Paused
	var failed error
	var orders sync.WaitGroup
	deadline := time.Now().Add(orderTimeout)
	for _, channel := range channels {
		id, kind := channel.member.ID, chervilladder.CommandPause
		if id == spared {
			kind = chervilladder.CommandStatus
		}
		orders.Go(func() {
			status, err := r.give(channel, deadline, chervilladder.Command{Kind: kind, Term: r.term})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("%w: %w", errOutOfSight, err))
				return
			}
			if status.Primary && status.Term > r.view.Term {
				failed = errors.Join(failed, &supersededError{By: id, Term: status.Term})
			}
			list = append(list, lead.Paused{Upstream: id, Received: status.Received, Leaving: channel.member.Leaves()})
		})
	}
	orders.Wait()
	if failed != nil || spared == "" {
		return list, failed
	}
	if confirms(list, spared) {
		r.goesOn = spared
		return list, nil
	}
	// Another replica was ahead, so the spared one stops too. What it has
	// confirmed up to now counts.
	status, err := r.order(ctx, r.view.Members[spared], chervilladder.Command{Kind: chervilladder.CommandPause, Term: r.term})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errOutOfSight, err)
	}
	for i := range list {
		if list[i].Upstream == spared {
			list[i].Received = status.Received
		}
	}
	return list, nil
}

// resume lets replicas go on.
func (r *replacement) resume(ctx context.Context, list []chervilladder.UpstreamID) error {
	var failed error
	for _, id := range list {
		failed = errors.Join(failed, r.letGo(ctx, r.view.Members[id]))
	}
	return failed
}

// oldFirst is how long the replicas wait for the old primary to step down. One that
// is in sight of some VM has done so before, or does so sooner.
const oldFirst = 40 * time.Millisecond

// errNotAlone reports replicas that were not let go: another VM may have paused them.
var errNotAlone = errors.New("the duty may have been taken over, so the replicas stay as they are")

// release makes the old primary a replica if it can be reached, and then lets the
// others follow the new one. Replicas that stay paused, and a primary that goes
// on, show as such later.
func (r *replacement) release(ctx context.Context, leader chervilladder.UpstreamID) error {
	if err := r.stayAlone(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotAlone, err)
	}
	var orders sync.WaitGroup
	defer orders.Wait()
	if r.view.Primary != leader {
		deposed := make(chan struct{})
		orders.Go(func() {
			defer close(deposed)
			r.depose(ctx, r.cluster.View.Load().Term)
		})
		wait := time.NewTimer(oldFirst)
		defer wait.Stop()
		select {
		case <-deposed:
		case <-wait.C:
		}
	}
	for id, s := range r.view.Members {
		if id != leader && id != r.view.Primary {
			orders.Go(func() {
				if err := r.letGo(ctx, s); err != nil {
					r.log.WithError(err).WithField("upstream", id).Info("failover: member not told of the new primary")
				}
			})
		}
	}
	return nil
}

// letGo has a paused replica go on. The order names no term, so it is not given once
// another VM may have paused the replica for a later one.
func (r *replacement) letGo(ctx context.Context, s blackboard.Sighting) error {
	deadline := time.Now().Add(orderTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	channel, err := r.reach(ctx, s)
	if err != nil {
		return err
	}
	defer channel.close()
	if !r.alone() {
		return errNotAlone
	}
	_, err = r.give(channel, deadline, chervilladder.Command{Kind: chervilladder.CommandResume})
	return err
}
