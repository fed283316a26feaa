package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
	"github.com/chervilladder/chervilladder/internal/decide/route"
)

// proofMaxAge is how old a write's proof may be when the answer is returned. If the VM
// was paused meanwhile, it polls the statuses again.
const proofMaxAge = 250 * time.Millisecond

// confirmPoll is the interval at which replicas are polled for their positions while a
// write waits for the confirmation of one.
const confirmPoll = 2 * time.Millisecond

// errNoProof reports that the group's term was not proved in time.
var errNoProof = errors.New("no proof that the primary was not replaced")

// prove waits for the status observations that an answer needs before it is returned,
// and records what the session has observed.
func (x *exchange) prove() (chervilladder.Mark, error) {
	read := x.work.Access == chervilladder.AccessRead
	poll := x.poll
	if !read || poll == 0 {
		poll = x.state.Polls.Request()
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.batchDeadline)
	defer cancel()
	for {
		g, err := x.awaitProof(ctx, poll)
		if err != nil {
			return chervilladder.Mark{}, err
		}
		if !read && x.class.Confirm == chervilladder.ConfirmReplica {
			if err := x.awaitReplica(ctx, g.Mark()); err != nil {
				return chervilladder.Mark{}, err
			}
		}
		if read || time.Since(g.Members[g.Primary].RequestedAt) < proofMaxAge {
			return x.observe(g), nil
		}
		poll = x.state.Polls.Request()
	}
}

func (x *exchange) awaitProof(ctx context.Context, poll blackboard.PollNumber) (blackboard.Group, error) {
	verdict := proof.Pending
	noProofNeeded := false
	g, err := x.state.Await(ctx, func(g blackboard.Group) bool {
		verdict = x.verdictOf(g, poll)
		noProofNeeded = x.needsNoProof(g)
		return noProofNeeded || verdict != proof.Pending
	})
	if err == nil && noProofNeeded {
		return g, nil
	}
	if err != nil || verdict != proof.Holds {
		return g, errNoProof
	}
	return g, nil
}

// needsNoProof reports whether a read needs no proof of the term: it was served by a
// replica whose data is recent enough, and the group has no primary.
func (x *exchange) needsNoProof(g blackboard.Group) bool {
	return x.acceptsStale() && x.sentTo != g.Primary && route.WithoutPrimary(g)
}

// verdictOf returns what the group's statuses prove for the work.
func (x *exchange) verdictOf(g blackboard.Group, t blackboard.PollNumber) proof.Verdict {
	if x.work.Access == chervilladder.AccessRead {
		return proof.Current(g, x.term, x.claim, t)
	}
	return proof.Newest(g, x.term, t)
}

// awaitReplica waits until a replica has received the primary's log up to a mark.
func (x *exchange) awaitReplica(ctx context.Context, m chervilladder.Mark) error {
	poll := time.NewTicker(confirmPoll)
	defer poll.Stop()
	for {
		g, changed := x.state.Group.Watch()
		if g.Term != m.Term {
			return errNoProof
		}
		if proof.Confirmed(g, m.Position) {
			return nil
		}
		select {
		case <-changed:
		case <-poll.C:
			x.state.Polls.Request()
		case <-ctx.Done():
			return errNoProof
		}
	}
}

// observe records what the session has observed with this answer.
func (x *exchange) observe(g blackboard.Group) chervilladder.Mark {
	if x.work.Access == chervilladder.AccessRead && x.sentTo != g.Primary {
		if poll := x.state.Polls.Next(); x.acceptsStale() {
			x.state.MinimumPositions.ReadAged(x.work.Session, x.sentTo, poll)
		} else {
			x.state.MinimumPositions.Read(x.work.Session, x.sentTo, poll)
		}
		return chervilladder.Mark{}
	}
	m := g.Mark()
	x.state.MinimumPositions.Wrote(x.work.Session, m)
	return m
}

// mayRetry reports whether a batch is retried after an error: that must be safe, and the
// database's retry budget must allow it.
func (x *exchange) mayRetry(err error) bool {
	return x.safeToRetry(err) && x.state.Retries.Spend()
}

// safeToRetry reports whether a batch can safely be sent again after an error. It counts
// the attempt.
func (x *exchange) safeToRetry(err error) bool {
	x.attempts++
	if x.open || x.begun || x.attempts >= maxAttempts || time.Now().After(x.work.Deadline) {
		return false
	}
	if x.ctx.Err() != nil {
		return false
	}
	if !x.sent {
		var notRun *chervilladder.NotRunError
		return errors.As(err, &notRun) && notRun.Reason == chervilladder.ReasonNoPrimary
	}
	return x.work.Access == chervilladder.AccessRead || x.class.Idempotent
}

// fail ends the exchange and returns what is known of the batch. A write that an earlier
// attempt has sent isn't reported as not run, although the last attempt was refused
// before it sent anything.
func (x *exchange) fail(err error) error {
	wasOpen, conn := x.open, x.conn
	x.abandon()
	read := x.work.Access == chervilladder.AccessRead
	var notRun *chervilladder.NotRunError
	if errors.As(err, &notRun) && (read || !x.sent) {
		return err
	}
	switch {
	case read:
		return x.notRun(chervilladder.ReasonNoProof, err)
	case !x.sent:
		return x.notRun(chervilladder.ReasonNoPrimary, err)
	case wasOpen && !x.batch.Commits:
		return x.notRun(chervilladder.ReasonRolledBack, err)
	default:
		if resolved := x.resolve(conn, err); resolved != nil {
			return resolved
		}
		x.state.MinimumPositions.WroteUnknown(x.work.Session, x.state.Polls.Request())
		return &chervilladder.UnknownError{Database: x.work.Database, Upstream: x.sentTo, Err: err}
	}
}

// resolve queries the outcome of a transaction whose answer was lost. It returns nil if
// that stays unknown.
func (x *exchange) resolve(conn *Conn, cause error) error {
	if conn == nil || conn.transaction == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.cancelLead())
	defer cancel()
	result, err := conn.transactionOutcome(ctx, x.term)
	if err != nil {
		return nil
	}
	switch result {
	case outcomeAborted:
		return x.notRun(chervilladder.ReasonRolledBack, cause)
	case outcomeCommitted:
		if _, err := x.prove(); err != nil {
			return nil
		}
		return &chervilladder.DoneError{Database: x.work.Database, Upstream: x.sentTo, Err: cause}
	default:
		return nil
	}
}

func (x *exchange) notRun(r chervilladder.Reason, err error) error {
	return &chervilladder.NotRunError{Database: x.work.Database, Reason: r, Err: err}
}
