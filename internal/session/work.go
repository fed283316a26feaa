package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/link"
)

// defaultTimeout bounds a statement whose route names no timeout.
const defaultTimeout = time.Second

// work is one command on its way.
type work struct {
	session *session
	// command is the caller's; shared is the same under the name that all
	// sessions share, if it runs a prepared statement.
	command, shared chervilladder.Command
	route           chervilladder.Route
	access          chervilladder.Access
	// need is the prepared statement that the command runs.
	need *link.Prepared
	// arrived dates the command for timeouts, seen for evidence: the
	// latter by the VM's own clock.
	arrived, seen time.Time
	deadline      time.Time
	cluster       *blackboard.Cluster
	// excluded are the members that have failed this command.
	excluded map[chervilladder.UpstreamID]bool
	// avoid is the host that another attempt waits for.
	avoid chervilladder.VMID
	// behind is set when a replica has refused a read for its lag, or had
	// no connection for it.
	behind bool

	// values, floor and inTransaction are the session's when the command
	// arrived: an attempt may outlast its command.
	values        map[string]string
	floor         floor
	inTransaction bool

	upstream chervilladder.UpstreamID
	// passedTo is the host that was asked last.
	passedTo chervilladder.VMID
	since    chervilladder.Mark
	tries    int
	granted  time.Time
	// sent is when the command was last sent.
	sent time.Time
	// running tells others where the command was last sent.
	running *atomic.Pointer[running]
}

// running is a command that was sent to a member.
type running struct {
	upstream chervilladder.UpstreamID
	// host is the VM that it was passed to instead.
	host chervilladder.VMID
	sent time.Time
}

// bind looks up what the work depends on.
func (w *work) bind(route chervilladder.Route) {
	w.route = route
	w.cluster = w.session.m.c.Board.Clusters.Get(route.Service)
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	w.deadline = w.arrived.Add(timeout)
	w.values, w.floor, w.inTransaction = w.session.values, w.session.floor, w.session.tx != nil
}

// minPatience is how long an answer is waited for at least before its slot is
// given to other work, and before a read is tried elsewhere too.
const minPatience = 100 * time.Millisecond

// patience returns that time for this work.
func (w *work) patience() time.Duration { return max(minPatience, w.route.Target/2) }

// lone runs an autocommitted statement.
func (w *work) lone(ctx context.Context) chervilladder.Result {
	s := w.session
	route, err := s.route()
	if err != nil {
		return failure(chervilladder.CodeNoDatabase, "no route to the database")
	}
	command, access, need, ok := s.resolve(w.command)
	if !ok {
		return failure(chervilladder.CodeNoStatement, w.command.Name)
	}
	w.shared, w.access, w.need = command, access, need
	w.bind(route)
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	var r chervilladder.Result
	if access == chervilladder.AccessRead {
		r = w.hedged(ctx)
	} else {
		r = w.try(ctx)
	}
	if r.Code == chervilladder.CodeNone {
		s.observe(r.Mark, s.m.c.Clock())
	}
	return r
}

// try makes attempts until one ends the statement.
func (w *work) try(ctx context.Context) chervilladder.Result {
	for {
		w.tries++
		r, next := w.attempt(ctx)
		if next == answer.Tell {
			return r
		}
		if w.behind {
			w.behind = false // another member is tried at once
			continue
		}
		if !w.again(ctx) {
			return r
		}
	}
}

// again reports whether another attempt is worth it, and spaces attempts.
func (w *work) again(ctx context.Context) bool {
	if w.tries > max(1, w.route.Attempts) || !w.cluster.Retries.Spend() {
		return false
	}
	delay := retry.Delay(w.tries)
	if time.Until(w.deadline) < 2*delay {
		return false
	}
	return w.pause(ctx, delay)
}

// attempt places the statement at a member and runs it there.
func (w *work) attempt(ctx context.Context) (chervilladder.Result, answer.Next) {
	if w.elsewhere() {
		return w.attemptElsewhere(ctx)
	}
	p, err := w.place(ctx, w.access)
	if err != nil {
		return w.refused(err), answer.Tell
	}
	defer p.release()
	conn, err := w.connect(ctx, p)
	if err != nil {
		w.exclude(p.member.ID)
		code := answer.Unsent(err)
		w.behind = code == chervilladder.CodeConnectionLimit && !p.primary && w.access == chervilladder.AccessRead
		return failure(code, err.Error()), answer.Retry
	}
	c := w.shared
	c.Since = p.since
	// A member that has lost the answer has no use for the slot, and may be
	// lost itself.
	late := time.AfterFunc(w.patience(), func() {
		p.release()
		w.cluster.Wanted.Ask()
	})
	defer late.Stop()
	r, err := w.exchange(conn, c)
	if err != nil {
		w.lost(p, conn)
		next, code := answer.LoneLost(w.access)
		return failure(code, err.Error()), next
	}
	if r.State != chervilladder.StateIdle {
		// Not what this side believes of the connection.
		conn.Discard()
	} else {
		conn.Release()
	}
	return w.judge(p, r)
}

// judge takes note of an answer to a lone statement.
func (w *work) judge(p *placement, r chervilladder.Result) (chervilladder.Result, answer.Next) {
	w.learn(p, r)
	if r.Code == chervilladder.CodeNone {
		w.cluster.Retries.Succeeded()
		return r, answer.Tell
	}
	if r.Code == chervilladder.CodeReadOnly {
		w.cluster.Wanted.Ask()
	}
	if w.access == chervilladder.AccessRead {
		w.behind = r.Code == chervilladder.CodeLagging && !p.primary
		w.exclude(p.member.ID)
	}
	next, code := answer.Lone(r.Code)
	r.Code = code
	return r, next
}

// exchange sends a command and receives its answer.
func (w *work) exchange(conn *link.Conn, c chervilladder.Command) (chervilladder.Result, error) {
	w.sent = time.Now()
	if w.running != nil {
		w.running.Store(&running{upstream: w.upstream, sent: w.sent})
	}
	if err := conn.Send(w.deadline, c); err != nil {
		return chervilladder.Result{}, err
	}
	return conn.Receive(w.deadline)
}

// connect returns a connection to the member that is set up for the session.
func (w *work) connect(ctx context.Context, p *placement) (*link.Conn, error) {
	conn, err := p.pool.Get(ctx, w.values)
	if err != nil {
		return nil, err
	}
	if err := w.setUp(conn, conn.Setup(w.values, w.need)); err != nil {
		conn.Discard()
		return nil, err
	}
	return conn, nil
}

// setUp runs commands that must all succeed before the connection is used.
func (w *work) setUp(conn *link.Conn, list []chervilladder.Command) error {
	if len(list) == 0 {
		return nil
	}
	if err := conn.Send(w.deadline, list...); err != nil {
		return err
	}
	var refused error
	for range list {
		r, err := conn.Receive(w.deadline)
		if err != nil {
			return err
		}
		if r.Code != chervilladder.CodeNone && refused == nil {
			refused = &chervilladder.LinkRefusedError{Code: r.Code, Text: r.Text}
		}
	}
	return refused
}

// lost closes a connection that failed, and those that may have failed with
// it.
func (w *work) lost(p *placement, conn *link.Conn) {
	conn.Discard()
	p.pool.DiscardOlder(w.sent)
	w.exclude(p.member.ID)
	w.cluster.Wanted.Ask()
}

func (w *work) exclude(id chervilladder.UpstreamID) {
	if w.excluded == nil {
		w.excluded = make(map[chervilladder.UpstreamID]bool)
	}
	w.excluded[id] = true
}

// report tells the observer how the command ended.
func (w *work) report(r chervilladder.Result) {
	o := w.session.m.c.Observer
	if o == nil {
		return
	}
	e := Ended{
		Database: w.session.db, Command: w.command, Priority: w.route.Priority,
		Upstream: w.upstream, Host: w.passedTo, Tries: w.tries, Since: w.since, Result: r, Took: time.Since(w.arrived),
	}
	if !w.granted.IsZero() {
		e.Waited = w.granted.Sub(w.arrived)
	}
	if w.cluster != nil {
		e.Term = w.cluster.View.Load().Term
	}
	o.Ended(e)
}
