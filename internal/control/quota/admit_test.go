package quota_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clock"
	"github.com/chervilladder/chervilladder/internal/control/quota"
	"github.com/chervilladder/chervilladder/internal/control/relay"
)

// alone returns the controller of a VM without peers, and its blackboard.
func alone(tb testing.TB, quotas map[chervilladder.AccountID]chervilladder.Quota, now func() time.Time) (*quota.Controller, *blackboard.Board) {
	k, b, _ := aloneWithLog(tb, quotas, now)
	return k, b
}

func aloneWithLog(tb testing.TB, quotas map[chervilladder.AccountID]chervilladder.Quota, now func() time.Time) (*quota.Controller, *blackboard.Board, *logtest.Hook) {
	b := blackboard.New(chervilladder.VM{ID: "vm-1"})
	b.Routing.Store(&chervilladder.Routing{Accounts: &chervilladder.Accounts{Quotas: quotas}})
	log, logged := logtest.NewNullLogger()
	k, err := quota.New(quota.Config{Board: b, Log: log, Clock: now, MaxListAge: relay.MaxListAge})
	if err != nil {
		tb.Fatal(err)
	}
	return k, b, logged
}

func TestRefusalSaysWhenToRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _ := alone(t, map[chervilladder.AccountID]chervilladder.Quota{tenant: {Rate: 1, Burst: 1}}, time.Now)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(10 * time.Second)
		for k.Admit(ctx, tenant) == nil { // the burst
		}
		began := time.Now()
		err := k.Admit(ctx, tenant)
		var refused *chervilladder.NotRunError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, chervilladder.ReasonQuota)
		is.Equal(time.Since(began), time.Duration(0)) // known already, so without a wait
		time.Sleep(refused.RetryAfter)
		is.NoErr(k.Admit(ctx, tenant))

		is.NoErr(k.Admit(ctx, "no-quota"))
		stop()
		is.NoErr(<-ended)
	})
}

// A line is logged when an account begins to be refused, and one when that has ended.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _, logged := aloneWithLog(t, map[chervilladder.AccountID]chervilladder.Quota{tenant: {Rate: 1, Burst: 1}}, time.Now)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(10 * time.Second)
		logged.Reset()
		for range 200 {
			_ = k.Admit(ctx, tenant)
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(len(logged.AllEntries()), 1)
		is.Equal(logged.LastEntry().Data["account"], tenant)
		time.Sleep(time.Minute)
		is.Equal(len(logged.AllEntries()), 2)
		is.True(logged.LastEntry().Data["refused"].(int64) > 100)
		stop()
		is.NoErr(<-ended)
	})
}

// Without quotas nothing is counted, sent or kept.
func TestNoQuotas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, b := alone(t, nil, time.Now)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		is.NoErr(k.Admit(ctx, tenant))
		time.Sleep(time.Minute)
		is.Equal(len(b.Quotas.All()), 0)
		is.True(b.QuotaLenders.Load().DecidedAt.IsZero())
		stop()
		is.NoErr(<-ended)
	})
}

// An operation that finds a loan is admitted without an allocation.
func TestAdmitAllocatesNothing(t *testing.T) {
	is := is.New(t)
	k, b := alone(t, map[chervilladder.AccountID]chervilladder.Quota{tenant: {Rate: 1, Burst: 1}}, clock.SinceBoot)
	now := clock.SinceBoot()
	b.Quotas.Get(tenant).Loans.Add(1<<40, now.Add(time.Hour), now)
	is.Equal(testing.AllocsPerRun(1000, func() { _ = k.Admit(context.Background(), tenant) }), 0.0)
}

// BenchmarkAdmit measures the admission of an operation on the path of a request.
func BenchmarkAdmit(b *testing.B) {
	for name, quotas := range map[string]map[chervilladder.AccountID]chervilladder.Quota{
		"quota":    {tenant: {Rate: 1, Burst: 1}},
		"no-quota": nil,
	} {
		b.Run(name, func(b *testing.B) {
			k, board := alone(b, quotas, clock.SinceBoot)
			now := clock.SinceBoot()
			board.Quotas.Get(tenant).Loans.Add(1<<60, now.Add(time.Hour), now)
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				if err := k.Admit(ctx, tenant); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
