package quota

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/quota"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

const (
	// gatherFor is how long the operations that wait are gathered before lenders are
	// asked.
	gatherFor = 2 * time.Millisecond
	// lateAfter is after how long the next lender is asked as well, and callTimeout how
	// long a lender's answer is waited for.
	lateAfter   = 70 * time.Millisecond
	callTimeout = 200 * time.Millisecond
	// avoidFor is how long a lender isn't asked that didn't answer, or doesn't lend.
	avoidFor = time.Second
	// maxShortage bounds how long no lender is asked after all had too little.
	maxShortage = time.Second
	// A VM is flooded if its callers ask for more than floodFactor times what is lent.
	floodFactor = 2
	// minWaiting is the number of operations of an account that may wait in any case.
	minWaiting = 4
)

// borrowing is the state of what this VM borrows of one account's quota.
type borrowing struct {
	account chervilladder.AccountID
	quota   *blackboard.Quota
	// offered and granted are the rates of the operations that callers ask for and of
	// those that lenders lend. offeredBefore is how many operations had been offered at
	// the last observation, and lentSince how many have been lent since.
	offered, granted         quota.Rate
	offeredBefore, lentSince int64
	// next is the index of the lender to ask next, and asked how many have been asked
	// since one had enough. retryAfter is the shortest wait that these returned.
	next, asked int
	retryAfter  time.Duration
	// call is the unanswered call that asks for this account; nil if there is none.
	call   *call
	report report
}

// avoidance is a VM that isn't asked for a group's accounts.
type avoidance struct {
	vm    chervilladder.VMID
	group quota.Group
}

// call is one request to a lender.
type call struct {
	lender  chervilladder.VM
	demands []chervilladder.QuotaDemand
	sentAt  time.Time
}

// answer is a lender's answer, or that it is late.
type answer struct {
	call  *call
	loans []chervilladder.QuotaLoan
	late  bool
	err   error
}

// borrow asks lenders for what operations wait for, and ahead for accounts with steady
// demand.
func (k *Controller) borrow(ctx context.Context) {
	k.forgetCalls()
	refilledAt := k.c.Clock()
	refill := time.NewTicker(k.terms().RefillInterval())
	defer refill.Stop()
	gather := time.NewTimer(0)
	defer gather.Stop()
	for {
		select {
		case <-k.wake:
			gather.Reset(gatherFor)
		case <-gather.C:
			k.request(ctx, k.takeQueued())
		case <-refill.C:
			now := k.c.Clock()
			k.request(ctx, k.observe(now.Sub(refilledAt), now))
			refilledAt = now
		case a := <-k.answers:
			k.request(ctx, k.apply(ctx, a))
		case <-ctx.Done():
			return
		}
	}
}

// forgetCalls discards the calls and the queue entries of an earlier run. A run ends by a
// panic, or when the configuration has no quotas.
func (k *Controller) forgetCalls() {
	for _, b := range k.borrowings {
		b.call = nil
	}
	for _, q := range k.c.Board.Quotas.All() {
		q.Queued.Store(false)
	}
}

// takeQueued returns the accounts with operations that wait for a loan.
func (k *Controller) takeQueued() []*borrowing {
	k.mu.Lock()
	queued := k.queued
	k.queued = nil
	k.mu.Unlock()
	list := make([]*borrowing, 0, len(queued))
	for _, a := range queued {
		b := k.borrowing(a)
		b.quota.Queued.Store(false)
		list = append(list, b)
	}
	return list
}

func (k *Controller) borrowing(a chervilladder.AccountID) *borrowing {
	b, ok := k.borrowings[a]
	if !ok {
		b = &borrowing{account: a, quota: k.c.Board.Quotas.Get(a), report: newReport(a, len(k.borrowings))}
		k.borrowings[a] = b
	}
	return b
}

// observe updates the rates and reports of all accounts, and returns the accounts.
func (k *Controller) observe(interval time.Duration, now time.Time) []*borrowing {
	list := make([]*borrowing, 0, len(k.borrowings))
	for _, b := range k.borrowings {
		offered := b.quota.Offered.Load()
		b.offered.Observe(offered-b.offeredBefore, interval)
		b.granted.Observe(b.lentSince, interval)
		b.report.offered.Add(int(offered - b.offeredBefore))
		b.report.borrowed.Add(int(b.lentSince))
		limit, _ := k.quotaOf(b.account)
		b.report.update(k.c.Log.WithField("account", b.account), b.quota.Refused.Load(), limit, now)
		b.offeredBefore, b.lentSince = offered, 0
		list = append(list, b)
	}
	return list
}

// request asks lenders for what accounts need, with one message to each lender.
func (k *Controller) request(ctx context.Context, list []*borrowing) {
	now, terms := k.c.Clock(), k.terms()
	lenders := k.c.Board.QuotaLenders.Load()
	var calls []*call
	for _, b := range list {
		limit, limited := k.quotaOf(b.account)
		group := quota.GroupOf(b.account)
		candidates := k.candidates(lenders, group, now)
		if !limited || len(candidates) == 0 || b.call != nil || b.quota.Supply.Load().ShortUntil.After(now) {
			continue
		}
		demand := quota.Demand{
			Quota: limit, Terms: terms, Offered: b.offered,
			Waiting: b.quota.Waiting.Load(), Left: b.quota.Loans.Left(now.Add(terms.RefillInterval())),
		}.Operations()
		if demand < 1 {
			continue
		}
		lender := candidates[b.next%len(candidates)]
		i := slices.IndexFunc(calls, func(c *call) bool { return c.lender.ID == lender.ID })
		if i < 0 {
			i = len(calls)
			calls = append(calls, &call{lender: lender, sentAt: now})
		}
		calls[i].demands = append(calls[i].demands, chervilladder.QuotaDemand{Account: b.account, Operations: demand})
		b.call = calls[i]
	}
	for _, c := range calls {
		k.calls.Go(func() { _ = recovery.Call(k.c.Log, part, func() { k.send(ctx, c) }) })
	}
}

// candidates returns the VMs to ask for a group's accounts: the lenders, and in place of
// those that are avoided the substitutes. If all are avoided, the lenders are asked.
func (k *Controller) candidates(l blackboard.QuotaLenders, g quota.Group, now time.Time) []chervilladder.VM {
	group := l.Groups[g]
	isAvoided := func(vm chervilladder.VM) bool { return k.avoided[avoidance{vm.ID, g}].After(now) }
	if !slices.ContainsFunc(group.Lenders, isAvoided) || k.allAvoided(g, now) {
		return group.Lenders
	}
	return slices.DeleteFunc(slices.Concat(group.Lenders, group.Substitutes), isAvoided)
}

// allAvoided reports whether all lenders of a group and their substitutes are avoided.
func (k *Controller) allAvoided(g quota.Group, now time.Time) bool {
	group := k.c.Board.QuotaLenders.Load().Groups[g]
	return !slices.ContainsFunc(slices.Concat(group.Lenders, group.Substitutes), func(vm chervilladder.VM) bool {
		return !k.avoided[avoidance{vm.ID, g}].After(now)
	})
}

// send calls a lender and passes on its answer.
func (k *Controller) send(ctx context.Context, c *call) {
	pass := func(a answer) {
		select {
		case k.answers <- a:
		case <-ctx.Done():
		}
	}
	late := time.AfterFunc(lateAfter, func() { pass(answer{call: c, late: true}) })
	defer late.Stop()
	loans, err := k.call(ctx, c)
	pass(answer{call: c, loans: loans, err: err})
}

func (k *Controller) call(ctx context.Context, c *call) ([]chervilladder.QuotaLoan, error) {
	if c.lender.ID == k.c.Board.Self.ID || k.c.Peers == nil {
		return k.Lend(ctx, k.c.Board.Self.ID, c.demands)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.c.Peers.Lend(ctx, c.lender.Peer, c.demands)
}

// apply applies an answer, and returns the accounts for which another lender is to be
// asked.
func (k *Controller) apply(ctx context.Context, a answer) []*borrowing {
	now := k.c.Clock()
	var again []*borrowing
	for i, d := range a.call.demands {
		b := k.borrowing(d.Account)
		loan := chervilladder.QuotaLoan{RetryAfter: k.terms().RetryInterval()}
		if i < len(a.loans) && a.loans[i].Account == d.Account {
			loan = a.loans[i]
		}
		key := avoidance{a.call.lender.ID, quota.GroupOf(d.Account)}
		if loan.Lifetime > 0 {
			delete(k.avoided, key) // it was only late
		} else {
			k.avoided[key] = now.Add(avoidFor)
		}
		lent := k.add(b, d, loan, a.call.sentAt, now)
		if b.call != a.call {
			continue // it was late, and another lender has been asked
		}
		b.call = nil
		switch {
		case lent >= int64(d.Operations):
			b.asked, b.retryAfter = 0, 0
		case loan.Lifetime > 0 || k.allAvoided(quota.GroupOf(b.account), now):
			k.noteShortage(ctx, b, loan.RetryAfter, now)
		}
		b.quota.Supply.Update(func(s blackboard.QuotaSupply) blackboard.QuotaSupply {
			s.MaxWaiting = int64(math.Ceil(b.granted.Over(maxWait)))
			return s
		})
		again = append(again, b)
	}
	return again
}

// add adds a loan, at most the demand, and returns its operations.
func (k *Controller) add(b *borrowing, d chervilladder.QuotaDemand, l chervilladder.QuotaLoan, sentAt, now time.Time) int64 {
	if !(l.Operations >= 1) { // also if it is no number
		return 0
	}
	lent := int64(min(l.Operations, d.Operations))
	expires := sentAt.Add(min(l.Lifetime, k.terms().Lifetime))
	b.lentSince += lent
	b.quota.Loans.Add(lent, expires, now)
	return lent
}

// noteShortage records that a lender had too little, so that the next one is asked. Once
// all have been asked, none is asked for a time.
func (k *Controller) noteShortage(ctx context.Context, b *borrowing, retryAfter time.Duration, now time.Time) {
	lenders := len(k.candidates(k.c.Board.QuotaLenders.Load(), quota.GroupOf(b.account), now))
	if b.asked == 0 || retryAfter < b.retryAfter {
		b.retryAfter = retryAfter
	}
	b.next, b.asked = b.next+1, b.asked+1
	if b.asked < lenders {
		return
	}
	wait := min(max(b.retryAfter, k.terms().RetryInterval()), maxShortage)
	b.asked, b.retryAfter = 0, 0
	if b.flooded() {
		b.asked, b.retryAfter = lenders-1, maxShortage // asking a single lender is enough until the next wait
	}
	b.quota.Supply.Update(func(s blackboard.QuotaSupply) blackboard.QuotaSupply {
		s.ShortUntil = now.Add(wait)
		return s
	})
	time.AfterFunc(wait, func() {
		if b.quota.Waiting.Load() > 0 && ctx.Err() == nil {
			k.queue(b.account, b.quota)
		}
	})
}

// flooded reports whether callers ask for far more than lenders have.
func (b *borrowing) flooded() bool {
	return b.offered.Over(time.Second) > floodFactor*b.granted.Over(time.Second)
}
