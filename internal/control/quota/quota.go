// Package quota keeps the operations of client accounts within their quotas: it admits
// them from loans, borrows from the VMs that lend parts of the quotas, and lends to other
// VMs what this VM owns of them.
package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/quota"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// part names this package in reports of panics.
const part recovery.Part = "quota"

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	// Peers borrows from other VMs; nil if there are none.
	Peers chervilladder.PeerQuotaLender
	Log   *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
	// MaxListAge returns the greatest age of a VM's list of VMs while the VM reaches the
	// store, given the number of VMs.
	MaxListAge func(vms int) time.Duration
}

// Controller is the one writer of the board's QuotaLenders and Quotas, except for the
// counts that the path of a request writes. It implements chervilladder.Admitter and
// chervilladder.QuotaLender.
type Controller struct {
	c Config

	// mu guards queued, the accounts with operations that wait for a loan.
	mu     sync.Mutex
	queued []chervilladder.AccountID
	// wake receives when an account has been queued.
	wake chan struct{}
	// answers receives the answers of lenders.
	answers chan answer

	// borrowings holds the accounts that this VM borrows for, and avoided until when a
	// lender isn't asked. Only the goroutine of borrow uses them.
	borrowings map[chervilladder.AccountID]*borrowing
	avoided    map[avoidance]time.Time
	calls      sync.WaitGroup

	standing standing
}

var (
	_ chervilladder.Admitter    = (*Controller)(nil)
	_ chervilladder.QuotaLender = (*Controller)(nil)
)

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil || c.Clock == nil || c.MaxListAge == nil {
		return nil, errors.New("quota: a board, a log, a clock and the age of lists are needed")
	}
	return &Controller{
		c: c, wake: make(chan struct{}, 1), answers: make(chan answer),
		borrowings: make(map[chervilladder.AccountID]*borrowing), avoided: make(map[avoidance]time.Time),
	}, nil
}

// Run borrows and decides on lenders until the context ends. It does nothing while the
// configuration has no quotas.
func (k *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer k.calls.Wait()
	defer stop()
	for ctx.Err() == nil {
		routing, changed := k.c.Board.Routing.Watch()
		if hasQuotas(routing) {
			k.runWithQuotas(ctx)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// runWithQuotas runs until the configuration has no quotas.
func (k *Controller) runWithQuotas(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	recovery.Go(ctx, &parts, k.c.Log, part, k.keepStanding)
	recovery.Go(ctx, &parts, k.c.Log, part, k.borrow)
	for ctx.Err() == nil {
		routing, changed := k.c.Board.Routing.Watch()
		if !hasQuotas(routing) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	stop()
	parts.Wait()
}

// Ready reports whether operations can be admitted. They can't while there are quotas and
// this VM doesn't know their lenders, since it has read no list of VMs.
func Ready(b *blackboard.Board) bool {
	return !hasQuotas(b.Routing.Load()) || !b.QuotaLenders.Load().DecidedAt.IsZero()
}

// hasQuotas reports whether a configuration limits any client account.
func hasQuotas(r *chervilladder.Routing) bool {
	return r != nil && r.Accounts != nil && len(r.Accounts.Quotas) > 0
}

// quotaOf returns the quota of an account in the configuration in force.
func (k *Controller) quotaOf(a chervilladder.AccountID) (chervilladder.Quota, bool) {
	r := k.c.Board.Routing.Load()
	if r == nil || r.Accounts == nil {
		return chervilladder.Quota{}, false
	}
	q, ok := r.Accounts.Quotas[a]
	return q, ok
}

func (k *Controller) terms() quota.Terms { return quota.TermsFor(k.c.Board.Bounds.Load().QuotaWindow) }
