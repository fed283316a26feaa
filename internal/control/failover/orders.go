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
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// orderConn is a connection for orders to a member: one opened for this purpose, or one
// of the pool that the member accepted earlier.
type orderConn struct {
	member blackboard.MemberObservation
	conn   *link.Conn
	// broken is set while the last order got no response.
	broken bool
}

// connect opens a connection for orders to a member. If the member accepts no new
// connections, it uses one of the pool.
func (r *replacement) connect(ctx context.Context, o blackboard.MemberObservation) (*orderConn, error) {
	opened, err := r.k.c.Linker.Open(ctx, o.Registered, "")
	if err == nil {
		return &orderConn{member: o, conn: link.Dedicated(opened)}, nil
	}
	var refused *chervilladder.LinkRefusedError
	if !errors.As(err, &refused) || refused.Code != chervilladder.CodeConnectionLimit {
		return nil, err
	}
	pooled, err := r.k.c.Pools.For(o.Registered).Get(ctx, "", nil)
	if err != nil {
		return nil, errors.Join(refused, err)
	}
	return &orderConn{member: o, conn: pooled}, nil
}

// send sends an order and returns the member's status after it.
func (c *orderConn) send(deadline time.Time, order chervilladder.Command) (chervilladder.LinkStatus, error) {
	status, err := c.conn.Status(deadline, order)
	var refused *chervilladder.LinkRefusedError
	c.broken = err != nil && !errors.As(err, &refused)
	return status, err
}

func (c *orderConn) close() {
	if c.broken {
		c.conn.Discard()
		return
	}
	c.conn.ReleaseAfterPoll()
}

func closeAll(conns []*orderConn) {
	for _, c := range conns {
		c.close()
	}
}

// connectReplicas opens connections to all members but the primary. Replicas are paused
// only once all of them are connected.
func (r *replacement) connectReplicas(ctx context.Context) ([]*orderConn, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var mu sync.Mutex
	var conns []*orderConn
	var failed error
	var opened recovery.Group
	for id, o := range r.view.Members {
		if id == r.view.Primary {
			continue
		}
		opened.Go(func() {
			c, err := r.connect(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("%w: %w", errUnreachable, err))
				return
			}
			conns = append(conns, c)
		})
	}
	opened.Wait()
	return conns, failed
}

// sendOrder sends one order to a member, on a connection of its own or one of the pool,
// and logs it.
func (r *replacement) sendOrder(ctx context.Context, o blackboard.MemberObservation, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	deadline := time.Now().Add(orderTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := r.connect(ctx, o)
	if err != nil {
		r.logOrder(o, c, chervilladder.LinkStatus{}, err)
		return chervilladder.LinkStatus{}, err
	}
	defer conn.close()
	return r.sendOrderOn(conn, deadline, c)
}

// sendOrderOn sends an order on a connection and logs it.
func (r *replacement) sendOrderOn(to *orderConn, deadline time.Time, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	status, err := to.send(deadline, c)
	r.logOrder(to.member, c, status, err)
	return status, err
}

func (r *replacement) logOrder(o blackboard.MemberObservation, c chervilladder.Command, status chervilladder.LinkStatus, err error) {
	r.log.WithFields(logrus.Fields{
		"upstream": o.ID, "order": orderNames[c.Kind], "order-term": c.Term, "error": err,
		"received": status.Received.String(), "leads": status.Primary, "status-term": status.Term, "held": status.PauseTerm,
	}).Info("failover: order sent")
	if err == nil {
		r.evidence.noteOrder(r.k.c.Board.Self.ID, o.ID, c.Kind, reply{status: status, at: r.k.c.Clock()})
	}
}

// orderNames are the names of orders in logs.
var orderNames = map[chervilladder.CommandKind]string{
	chervilladder.CommandStatus:   "status",
	chervilladder.CommandPause:    "pause",
	chervilladder.CommandResume:   "resume",
	chervilladder.CommandStepDown: "step-down",
}

// pause pauses all replicas. For a planned replacement it leaves the one that is to take
// over running: the old primary continues to commit with that replica's confirmations,
// so the candidate holds whatever is acknowledged.
func (r *replacement) pause(ctx context.Context) ([]lead.Paused, error) {
	conns, err := r.connectReplicas(ctx)
	defer closeAll(conns)
	if err != nil {
		return nil, err
	}
	unpaused := r.chooseUnpaused()
	var mu sync.Mutex
	var list []lead.Paused
	var failed error
	var orders recovery.Group
	deadline := time.Now().Add(orderTimeout)
	for _, conn := range conns {
		id, kind := conn.member.ID, chervilladder.CommandPause
		if id == unpaused {
			kind = chervilladder.CommandStatus
		}
		orders.Go(func() {
			status, err := r.sendPause(conn, deadline, kind)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("%w: %w", errUnreachable, err))
				return
			}
			if status.Primary && status.Term > r.view.Term {
				failed = errors.Join(failed, &supersededError{By: id, Term: status.Term})
			}
			list = append(list, lead.Paused{Upstream: id, Received: status.Received, Leaving: conn.member.Leaves()})
		})
	}
	orders.Wait()
	if failed != nil || unpaused == "" {
		return list, failed
	}
	if holdsAll(list, unpaused) {
		r.unpaused = unpaused
		return list, nil
	}
	// Another replica is ahead, so this one is paused too, and its position is read
	// again: it may have confirmed more since.
	status, err := r.sendOrder(ctx, r.view.Members[unpaused], chervilladder.Command{Kind: chervilladder.CommandPause, Term: r.term})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	for i := range list {
		if list[i].Upstream == unpaused {
			list[i].Received = status.Received
		}
	}
	return list, nil
}

// sendPause pauses a member, or requests its status only. One that leads the old primary's
// term or an earlier one, such as the old primary under another id, steps down first: as
// a primary it isn't paused by the order, and acknowledges commits.
func (r *replacement) sendPause(conn *orderConn, deadline time.Time, kind chervilladder.CommandKind) (chervilladder.LinkStatus, error) {
	order := chervilladder.Command{Kind: kind, Term: r.term}
	status, err := r.sendOrderOn(conn, deadline, order)
	if err == nil && status.Primary && status.Term <= r.view.Term {
		if _, err = r.sendOrderOn(conn, deadline, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: r.term}); err == nil {
			status, err = r.sendOrderOn(conn, deadline, order)
		}
	}
	if err == nil && kind == chervilladder.CommandPause && !status.Primary && status.PauseTerm < r.term {
		err = errNotPaused
	}
	return status, err
}

// errNotPaused reports a replica that has answered the order to pause and isn't paused.
var errNotPaused = errors.New("the replica is not paused")

// resume tries to resume all given replicas, and returns the joined errors.
func (r *replacement) resume(ctx context.Context, list []chervilladder.UpstreamID) error {
	var mu sync.Mutex
	var failed error
	var orders recovery.Group
	for _, id := range list {
		orders.Go(func() {
			err := r.resumeReplica(ctx, r.view.Members[id])
			mu.Lock()
			defer mu.Unlock()
			failed = errors.Join(failed, err)
		})
	}
	orders.Wait()
	return failed
}

// demotionWait is how long the replicas are kept paused for the demotion of the old
// primary. If any VM reaches the old primary, it has been demoted earlier or is demoted
// within this time.
const demotionWait = 40 * time.Millisecond

// errNotExclusive reports replicas that were not resumed: another VM may have paused
// them.
var errNotExclusive = errors.New("another VM may have taken over the failover leadership, so the replicas are left as they are")

// demoteAndResume demotes the old primary if it can be reached, and then resumes the
// other members, which follow the new primary. A replica that stays paused or an old
// primary that keeps its role is found and corrected by a later assessment.
func (r *replacement) demoteAndResume(ctx context.Context, newPrimary chervilladder.UpstreamID) error {
	if err := r.ensureExclusive(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotExclusive, err)
	}
	var orders recovery.Group
	defer orders.Wait()
	if r.view.Primary != newPrimary {
		demoted := make(chan struct{})
		orders.Go(func() {
			defer close(demoted)
			r.demoteOldPrimary(ctx, r.cluster.View.Load().Term)
		})
		wait := time.NewTimer(demotionWait)
		defer wait.Stop()
		select {
		case <-demoted:
		case <-wait.C:
		}
	}
	for id, o := range r.view.Members {
		if id != newPrimary && id != r.view.Primary {
			orders.Go(func() {
				if err := r.resumeReplica(ctx, o); err != nil {
					r.log.WithError(err).WithField("upstream", id).Info("failover: member not resumed after the promotion")
				}
			})
		}
	}
	return nil
}

// resumeReplica resumes a paused replica. The order carries no term, so it is not sent
// once another VM may have paused the replica for a later term.
func (r *replacement) resumeReplica(ctx context.Context, o blackboard.MemberObservation) error {
	deadline := time.Now().Add(orderTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := r.connect(ctx, o)
	if err != nil {
		return err
	}
	defer conn.close()
	if !r.exclusive() {
		return errNotExclusive
	}
	r.cluster.Resumed.Get(o.ID).Raise(r.k.c.Clock()) // before the order: its effect may be polled before its answer
	_, err = r.sendOrderOn(conn, deadline, chervilladder.Command{Kind: chervilladder.CommandResume})
	return err
}
