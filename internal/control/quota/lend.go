package quota

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/quota"
)

const (
	// maxDemands bounds the accounts of one request.
	maxDemands = 4096
	// maxDemand bounds the operations that are lent at a time.
	maxDemand = 1 << 32
	// notLendingRetry is after how long a VM is asked again that may not lend now.
	notLendingRetry = 100 * time.Millisecond
)

// errNoList reports a VM that has not read the list of VMs yet.
var errNoList = errors.New("quota: the list of VMs isn't known yet")

// Lend lends parts of the quotas that this VM owns. It lends nothing of an account whose
// lender it isn't.
func (k *Controller) Lend(_ context.Context, borrower chervilladder.VMID, demands []chervilladder.QuotaDemand) ([]chervilladder.QuotaLoan, error) {
	listed := k.listed(borrower)
	if !listed && borrower != "" {
		k.c.Board.ListTrigger.Ask()
	}
	if len(demands) == 0 && !listed && k.c.Board.Members.Load().Members == nil {
		return nil, errNoList // this VM can't tell yet whether the borrower is listed
	}
	if len(demands) == 0 && !listed {
		return nil, &chervilladder.UnknownBorrowerError{VM: borrower}
	}
	if !listed {
		borrower = "" // unlisted borrowers count as one, which bounds their number
	}
	loans := make([]chervilladder.QuotaLoan, 0, min(len(demands), maxDemands))
	for i, d := range demands {
		loan := chervilladder.QuotaLoan{Account: d.Account, RetryAfter: notLendingRetry}
		if i < maxDemands {
			loan = k.lend(borrower, d)
		}
		loans = append(loans, loan)
	}
	return loans, nil
}

// lend lends a part of one account's quota.
func (k *Controller) lend(borrower chervilladder.VMID, d chervilladder.QuotaDemand) chervilladder.QuotaLoan {
	terms := k.terms()
	loan := chervilladder.QuotaLoan{Account: d.Account, RetryAfter: notLendingRetry}
	limit, limited := k.quotaOf(d.Account)
	now, group, lenders := k.c.Clock(), quota.GroupOf(d.Account), k.c.Board.QuotaLenders.Load()
	since := lenders.LendingSince(group, now)
	demand := float64(d.Operations)
	if !limited || since.IsZero() || math.IsNaN(demand) || demand < 1 {
		return loan
	}
	loan.Lifetime = terms.Lifetime
	loan.Operations, loan.RetryAfter = k.c.Board.Quotas.Get(d.Account).Lend(quota.Request{
		Borrower: borrower, Demand: chervilladder.Operations(min(demand, maxDemand)),
		Quota: limit, Lenders: lenders.Groups[group].Tenure.Lenders, LendingSince: since, Terms: terms,
	}, now)
	lentTotal.Add(int(loan.Operations))
	return loan
}

// listed reports whether a VM is in this VM's list.
func (k *Controller) listed(vm chervilladder.VMID) bool {
	_, ok := k.c.Board.Members.Load().Members[vm]
	return ok || vm == k.c.Board.Self.ID
}
