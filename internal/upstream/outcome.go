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

// proofMaxAge is how old a proof may be when the answer is passed on; a VM
// that was paused in between asks again.
const proofMaxAge = 250 * time.Millisecond

// confirmPoll is how often replicas are asked for their positions while a
// write waits for one of them.
const confirmPoll = 2 * time.Millisecond

// errNoProof tells that the group did not prove its term in time.
var errNoProof = errors.New("no proof that the primary was not replaced")

// prove waits for the evidence that the answer needs before it may be passed
// on, and records what the session has observed.
func (x *exchange) prove() (chervilladder.Mark, error) {
	read := x.work.Access == chervilladder.AccessRead
	tick := x.asked
	if !read || tick == 0 {
		tick = x.state.Evidence.Ask()
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.until)
	defer cancel()
	for {
		g, err := x.awaitProof(ctx, tick)
		if err != nil {
			return chervilladder.Mark{}, err
		}
		if !read && x.class.Confirm == chervilladder.ConfirmReplica {
			if err := x.awaitReplica(ctx, g.Mark()); err != nil {
				return chervilladder.Mark{}, err
			}
		}
		if read || time.Since(g.Members[g.Primary].Asked) < proofMaxAge {
			return x.observe(g), nil
		}
		tick = x.state.Evidence.Ask()
	}
}

func (x *exchange) awaitProof(ctx context.Context, tick blackboard.Tick) (blackboard.Group, error) {
	verdict := proof.Pending
	unproven := false
	g, err := x.state.Await(ctx, func(g blackboard.Group) bool {
		verdict = x.judge(g, tick)
		unproven = x.mayGoUnproven(g)
		return unproven || verdict != proof.Pending
	})
	if err == nil && unproven {
		return g, nil
	}
	if err != nil || verdict != proof.Holds {
		return g, errNoProof
	}
	return g, nil
}

// mayGoUnproven reports whether a read needs no proof of the term: it was
// served by a replica whose data is fresh enough, and no primary is there.
func (x *exchange) mayGoUnproven(g blackboard.Group) bool {
	return x.aged() && x.served != g.Primary && route.WithoutPrimary(g)
}

// judge judges what the group's statuses prove of the work.
func (x *exchange) judge(g blackboard.Group, t blackboard.Tick) proof.Verdict {
	if x.work.Access == chervilladder.AccessRead {
		return proof.Current(g, x.term, x.claim, t)
	}
	return proof.Newest(g, x.term, t)
}

// awaitReplica waits until a replica has received what the primary had
// committed at a mark.
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
			x.state.Evidence.Ask()
		case <-ctx.Done():
			return errNoProof
		}
	}
}

// observe records what the session has now seen.
func (x *exchange) observe(g blackboard.Group) chervilladder.Mark {
	if x.work.Access == chervilladder.AccessRead && x.served != g.Primary {
		if tick := x.state.Evidence.Stamp(); x.aged() {
			x.state.Floors.ReadAged(x.work.Session, x.served, tick)
		} else {
			x.state.Floors.Read(x.work.Session, x.served, tick)
		}
		return chervilladder.Mark{}
	}
	m := g.Mark()
	x.state.Floors.Wrote(x.work.Session, m)
	return m
}

// mayRetry reports whether a batch is to be sent again after an error: it must
// be harmless, and the database's budget must allow it.
func (x *exchange) mayRetry(err error) bool {
	return x.harmless(err) && x.state.Retries.Spend()
}

// harmless reports whether a batch may be sent again after an error.
func (x *exchange) harmless(err error) bool {
	x.attempts++
	if x.open || x.begun || x.attempts >= maxReadAttempts || time.Now().After(x.work.Deadline) {
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

// fail ends the exchange and says honestly what is known of the batch. A write
// that an earlier attempt has sent is not reported as not run, though the last
// attempt was refused before it sent anything.
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
		if settled := x.settle(conn, err); settled != nil {
			return settled
		}
		x.state.Floors.Lost(x.work.Session, x.state.Evidence.Ask())
		return &chervilladder.UnknownError{Database: x.work.Database, Upstream: x.served, Err: err}
	}
}

// settle asks for the fate of a transaction whose answer was lost, and returns
// nil if it stays unknown.
func (x *exchange) settle(conn *Conn, cause error) error {
	if conn == nil || conn.transaction == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.grace())
	defer cancel()
	fate, err := conn.fate(ctx, x.term)
	if err != nil {
		return nil
	}
	switch fate {
	case fateAborted:
		return x.notRun(chervilladder.ReasonRolledBack, cause)
	case fateCommitted:
		if _, err := x.prove(); err != nil {
			return nil
		}
		return &chervilladder.DoneError{Database: x.work.Database, Upstream: x.served, Err: cause}
	default:
		return nil
	}
}

func (x *exchange) notRun(r chervilladder.Reason, err error) error {
	return &chervilladder.NotRunError{Database: x.work.Database, Reason: r, Err: err}
}
