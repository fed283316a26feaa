package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/quota"
)

// QuotaLenders says which VMs lend parts of quotas, and what this VM may lend.
type QuotaLenders struct {
	Groups [quota.Groups]QuotaGroup
	// DecidedAt is when the tenures were last decided, by the VM's own clock.
	DecidedAt time.Time
}

// MaxTenureAge is the age from which the tenures no longer allow the VM to lend. They
// reach it if the VM was suspended; others may have taken over since.
const MaxTenureAge = 2 * time.Second

// LendingSince returns since when the VM may lend the quotas of a group; zero if it may
// not.
func (l QuotaLenders) LendingSince(g quota.Group, now time.Time) time.Time {
	if now.Sub(l.DecidedAt) >= MaxTenureAge {
		return time.Time{}
	}
	return l.Groups[g].Tenure.LendingSince
}

// QuotaGroup describes the lenders of a group of accounts.
type QuotaGroup struct {
	// Lenders are the group's lenders, in the order in which this VM asks them.
	// Substitutes are asked if one of them doesn't lend.
	Lenders, Substitutes []chervilladder.VM
	// Tenure is this VM's own as a lender.
	Tenure quota.Tenure
}

// Quota is the state of one client account's quota at this VM.
type Quota struct {
	// Loans holds what the VM has borrowed. The path of a request takes from it and
	// control/quota adds to it.
	Loans quota.Loans
	// Offered counts the operations that callers have asked for, Waiting those that
	// wait for a loan, Refused those that were refused. Written by the path of a
	// request.
	Offered, Waiting, Refused atomic.Int64
	// Queued is set while control/quota has been told that operations wait.
	Queued atomic.Bool
	// Supply is what is known of the lenders. Written by control/quota, which wakes
	// the waiting operations by it.
	Supply Section[QuotaSupply]

	lending sync.Mutex
	bucket  quota.Bucket
}

// QuotaSupply is what a VM knows of the supply of its lenders.
type QuotaSupply struct {
	// ShortUntil is until when no lender has more for this VM; zero if one may.
	ShortUntil time.Time
	// MaxWaiting is the number of operations that may wait for a loan.
	MaxWaiting int64
}

// Lend lends from this VM's part of the quota.
func (q *Quota) Lend(r quota.Request, now time.Time) (chervilladder.Operations, time.Duration) {
	q.lending.Lock()
	defer q.lending.Unlock()
	return q.bucket.Lend(r, now)
}
