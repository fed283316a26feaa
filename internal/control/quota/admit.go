package quota

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

const (
	// maxWait bounds how long an operation waits for a loan.
	maxWait = 150 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is told to come
	// back.
	minRetryAfter = 50 * time.Millisecond
)

// Admit takes one operation from what this VM has borrowed of the account's quota. If
// there is none it waits for a loan, for up to maxWait.
func (k *Controller) Admit(ctx context.Context, a chervilladder.AccountID) error {
	if _, limited := k.quotaOf(a); !limited {
		return nil
	}
	q := k.c.Board.Quotas.Get(a)
	q.Offered.Add(1)
	if q.Loans.Take(k.c.Clock()) {
		return nil
	}
	return k.awaitLoan(ctx, a, q)
}

// awaitLoan waits for a loan and takes one operation from it. It refuses at once if too
// many operations wait, or if no lender has more before the wait would end.
func (k *Controller) awaitLoan(ctx context.Context, a chervilladder.AccountID, q *blackboard.Quota) error {
	defer q.Waiting.Add(-1)
	if q.Waiting.Add(1) > max(minWaiting, q.Supply.Load().MaxWaiting) {
		return k.refusal(q)
	}
	deadline := k.c.Clock().Add(maxWait)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		supply, changed := q.Supply.Watch()
		now := k.c.Clock()
		if q.Loans.Take(now) {
			return nil
		}
		if !now.Before(deadline) || supply.ShortUntil.After(deadline) {
			return k.refusal(q)
		}
		if !supply.ShortUntil.After(now) {
			k.queue(a, q)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return k.refusal(q)
		case <-ctx.Done():
			return k.refusal(q)
		}
	}
}

// queue has the controller borrow for an account.
func (k *Controller) queue(a chervilladder.AccountID, q *blackboard.Quota) {
	if q.Queued.Swap(true) {
		return
	}
	k.mu.Lock()
	k.queued = append(k.queued, a)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// refusal returns the error of an operation that isn't admitted.
func (k *Controller) refusal(q *blackboard.Quota) error {
	q.Refused.Add(1)
	wait := q.Supply.Load().ShortUntil.Sub(k.c.Clock())
	return &chervilladder.NotRunError{Reason: chervilladder.ReasonQuota, RetryAfter: max(minRetryAfter, wait)}
}
