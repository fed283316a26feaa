package chervilladder

import (
	"context"
	"time"
)

// Operations counts operations: autocommit statements and transactions. Shares of a
// quota may be fractions of one.
type Operations float64

// OperationsPerSecond is a rate of operations.
type OperationsPerSecond float64

// Quota limits the operations of a client account over all VMs: in any span of time at
// most Rate times the span, and Burst.
type Quota struct {
	Rate  OperationsPerSecond
	Burst Operations
}

// Admitter admits the operations of client accounts within their quotas.
type Admitter interface {
	// Admit takes one operation from the quota of an account. It may wait briefly for
	// a share of the quota to arrive. Its error is a *NotRunError with ReasonQuota.
	Admit(ctx context.Context, a AccountID) error
}

// QuotaDemand is how many operations of an account a VM expects to admit while a loan
// lasts.
type QuotaDemand struct {
	Account    AccountID
	Operations Operations
}

// QuotaLoan is a part of an account's quota that a VM may use until it expires.
type QuotaLoan struct {
	Account    AccountID
	Operations Operations
	// Lifetime counts from when the loan was requested, so that clocks need not agree.
	// It is zero if the VM doesn't lend the account's quota now.
	Lifetime time.Duration
	// RetryAfter is when more can be lent, if the loan is less than the demand.
	RetryAfter time.Duration
}

// QuotaLender lends parts of quotas to other VMs.
type QuotaLender interface {
	// Lend returns a loan for each demand, in the same order. Without demands it only
	// checks whether the borrower is known: its error is then an
	// *UnknownBorrowerError if the borrower isn't in the lender's list of VMs.
	Lend(ctx context.Context, borrower VMID, demands []QuotaDemand) ([]QuotaLoan, error)
}

// PeerQuotaLender calls the QuotaLender of peers.
type PeerQuotaLender interface {
	// Lend calls QuotaLender.Lend at the VM of an address.
	Lend(ctx context.Context, peer Address, demands []QuotaDemand) ([]QuotaLoan, error)
}
