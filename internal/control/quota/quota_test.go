package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// The start of a system, and its traffic from 14 s on.
const trafficFrom = 14 * time.Second

const tenant = chervilladder.AccountID("tenant-1")

// load has the callers of an account offer operations for a time, spread over VMs
// by weights, and returns the account's counts.
func load(w *world, id chervilladder.AccountID, rate float64, weights []float64, d time.Duration) *account {
	sum := 0.0
	for _, x := range weights {
		sum += x
	}
	for i, x := range weights {
		w.vms[i].setLoad(id, rate*x/sum)
	}
	time.Sleep(d)
	return w.accounts[id]
}

func even(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// skewed spreads callers so that each VM has half as many as the one before.
func skewed(n int) []float64 {
	weights := make([]float64, n)
	x := 1.0
	for i := range weights {
		weights[i] = x
		x /= 2
	}
	return weights
}

func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, c := range []struct {
		vms     int
		quota   chervilladder.Quota
		offered float64
		weights func(int) []float64
	}{
		{1, chervilladder.Quota{Rate: 100, Burst: 100}, 80, even},
		{2, chervilladder.Quota{Rate: 100, Burst: 100}, 80, even},
		{4, chervilladder.Quota{Rate: 100, Burst: 100}, 80, even},
		{4, chervilladder.Quota{Rate: 1000, Burst: 10}, 800, skewed},
		{25, chervilladder.Quota{Rate: 1, Burst: 5}, 0.5, even},
		{25, chervilladder.Quota{Rate: 5, Burst: 10}, 3, even},
		{25, chervilladder.Quota{Rate: 100, Burst: 50}, 80, skewed},
	} {
		t.Run(fmt.Sprintf("%d VMs, rate %v, burst %v", c.vms, c.quota.Rate, c.quota.Burst), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.vms, map[chervilladder.AccountID]chervilladder.Quota{tenant: c.quota}, 1)
				defer w.end()
				time.Sleep(trafficFrom)
				before := w.messages.Load()
				a := load(w, tenant, c.offered, c.weights(c.vms), 60*time.Second)
				t.Logf("offered %d, refused %d, mean wait %v, most %d, messages a second and VM %.1f", a.offered, a.refused, a.waited/time.Duration(a.offered), a.most(), float64(w.messages.Load()-before)/60/float64(c.vms))
				is.True(a.refused*100 <= a.offered) // more than 1 % refused
			})
		})
	}
}

func TestFloodIsHeldToTheQuota(t *testing.T) {
	for _, vms := range []int{1, 2, 4, 25} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := chervilladder.Quota{Rate: 100, Burst: 50}
				w := newWorld(vms, map[chervilladder.AccountID]chervilladder.Quota{tenant: q}, 1)
				defer w.end()
				time.Sleep(trafficFrom)
				before := w.messages.Load()
				a := load(w, tenant, 1000, even(vms), 30*time.Second)
				t.Logf("offered %d, admitted %d, mean wait %v, most %d, messages a second and VM %.1f", a.offered, len(a.admitted), a.waited/time.Duration(a.offered), a.most(), float64(w.messages.Load()-before)/30/float64(vms))
				is.True(float64(a.most()) <= 1.1*(float64(q.Rate)*window.Seconds()+float64(q.Burst)))
				is.True(len(a.admitted) >= 2850) // 95 % of the quota
			})
		})
	}
}
