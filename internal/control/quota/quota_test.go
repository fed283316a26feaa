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
				sum := a.totals()
				t.Logf("offered %d, refused %d, beyond the quota %d, mean wait %v, most %d, messages a second and VM %.1f", sum.offered, sum.refused, sum.beyond, sum.meanWait, a.most(), float64(w.messages.Load()-before)/60/float64(c.vms))
				is.True(a.wronglyRefused()*200 <= sum.offered) // more than 0.5 % refused
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
				sum := a.totals()
				t.Logf("offered %d, admitted %d, mean wait %v, most %d, messages a second and VM %.1f", sum.offered, sum.admitted, sum.meanWait, a.most(), float64(w.messages.Load()-before)/30/float64(vms))
				is.True(float64(a.most()) <= 1.1*(float64(q.Rate)*window.Seconds()+float64(q.Burst)))
				is.True(sum.admitted >= 2850) // 95 % of the quota
			})
		})
	}
}

// accountsOf returns the quotas of n accounts, a few of them large, that offer a total
// rate which is a share of their quotas.
func accountsOf(n int, offered, share float64) (map[chervilladder.AccountID]chervilladder.Quota, map[chervilladder.AccountID]float64) {
	quotas, rates := make(map[chervilladder.AccountID]chervilladder.Quota), make(map[chervilladder.AccountID]float64)
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
	}
	for i := range n {
		id := chervilladder.AccountID(fmt.Sprintf("tenant-%d", i+1))
		rates[id] = offered / float64(i+1) / sum
		rate := chervilladder.OperationsPerSecond(rates[id] / share)
		quotas[id] = chervilladder.Quota{Rate: rate, Burst: chervilladder.Operations(max(5, rate))}
	}
	return quotas, rates
}

// TestCost measures what quotas cost, and logs the rows of the table in docs/CAPACITY.md
// with -v. First all accounts stay below their quotas, the callers of each spread
// unevenly; then one offers ten times its quota.
func TestCost(t *testing.T) {
	const (
		accounts  = 79
		perVM     = 31.0 // operations a second
		share     = 0.8  // of the quota
		measured  = 20 * time.Second
		hotFactor = 10
	)
	sizes := []int{4, 30}
	if testing.Verbose() {
		sizes = append(sizes, 78, 300)
	}
	for _, vms := range sizes {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				quotas, rates := accountsOf(accounts, perVM*float64(vms), share)
				w := newWorld(vms, quotas, 1)
				defer w.end()
				time.Sleep(trafficFrom)
				for id, rate := range rates {
					weights, sum := make([]float64, vms), 0.0
					for i := range weights {
						weights[i] = w.random.ExpFloat64()
						sum += weights[i]
					}
					for i, x := range weights {
						w.vms[i].setLoad(id, rate*x/sum)
					}
				}
				perSecond := func(before, after int64) float64 { return float64(after-before) / measured.Seconds() / float64(vms) }
				messages, bytes := w.messages.Load(), w.bytes.Load()
				time.Sleep(measured)
				messagesBelow, bytesBelow := perSecond(messages, w.messages.Load()), perSecond(bytes, w.bytes.Load())
				offered, refused := 0, w.wronglyRefused("")
				for _, a := range w.accounts {
					offered += a.totals().offered
				}

				const hot = chervilladder.AccountID("tenant-3")
				for _, v := range w.vms {
					v.setLoad(hot, hotFactor*float64(quotas[hot].Rate)/float64(vms))
				}
				before := w.wronglyRefused(hot)
				messages, bytes = w.messages.Load(), w.bytes.Load()
				time.Sleep(measured)
				allowed := float64(quotas[hot].Rate)*window.Seconds() + float64(quotas[hot].Burst)
				excess := float64(w.accounts[hot].most())/allowed - 1
				t.Logf("| %d | %.2f %% | %.1f | %.0f | %.1f %% | %.2f %% | %.1f | %.0f |", vms, 100*float64(refused)/float64(offered), messagesBelow, bytesBelow,
					100*excess, 100*float64(w.wronglyRefused(hot)-before)/float64(offered), perSecond(messages, w.messages.Load()), perSecond(bytes, w.bytes.Load()))
				is.True(excess <= 0.1)
				is.True(refused*200 <= offered) // more than 0.5 % refused below the limit
			})
		})
	}
}
