package quota_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/quota"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Of a lender's share of 10 operations a second, a greedy borrower leaves a small one what
// it demands.
func TestGreedyBorrowerLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	terms := quota.TermsFor(5 * time.Second)
	request := func(borrower chervilladder.VMID, demand chervilladder.Operations) quota.Request {
		return quota.Request{
			Borrower: borrower, Demand: demand, Quota: chervilladder.Quota{Rate: 100, Burst: 3}, Lenders: 1, LendingSince: start, Terms: terms,
		}
	}
	var b quota.Bucket
	var small, greedy chervilladder.Operations
	for i := range 100 {
		now := at(time.Duration(i) * terms.RetryInterval())
		lent, _ := b.Lend(request("greedy", 1000), now)
		greedy += lent
		lent, _ = b.Lend(request("small", 1), now)
		small += lent
	}
	t.Log(small, greedy)
	is.True(small >= 95) // nearly all that it asked for
	is.True(greedy >= 500)
}

func TestBucketIsEmptyAtFirst(t *testing.T) {
	is := is.New(t)
	var b quota.Bucket
	r := quota.Request{
		Borrower: "vm-1", Demand: 10, Quota: chervilladder.Quota{Rate: 3, Burst: 30}, Lenders: 3, LendingSince: start, Terms: quota.TermsFor(0),
	}
	lent, retryAfter := b.Lend(r, at(0))
	is.Equal(lent, chervilladder.Operations(0))
	is.Equal(retryAfter, time.Second) // its third of the rate is one a second
	lent, _ = b.Lend(r, at(4*time.Second))
	is.Equal(lent, chervilladder.Operations(4))
	r.Demand = 1000
	lent, _ = b.Lend(r, at(time.Hour))
	is.Equal(lent, chervilladder.Operations(11)) // a third of the burst, and one
}

func TestLoansExpire(t *testing.T) {
	is := is.New(t)
	var l quota.Loans
	l.Add(2, at(time.Second), at(0))
	l.Add(1, at(2*time.Second), at(0))
	is.Equal(l.Left(at(0)), int64(3))
	is.True(l.Take(at(0)))
	is.Equal(l.Left(at(time.Second)), int64(1))
	is.True(l.Take(at(time.Second)))
	is.True(!l.Take(at(time.Second)))
	is.True(l.Take(at(0)))
	is.True(!l.Take(at(0)))
}

func TestLoansAreTakenOnce(t *testing.T) {
	is := is.New(t)
	var l quota.Loans
	var taken atomic.Int64
	var takers sync.WaitGroup
	for range 4 {
		takers.Go(func() {
			for range 1000 {
				if l.Take(at(0)) {
					taken.Add(1)
				}
			}
		})
	}
	for range 10 {
		l.Add(100, at(time.Second), at(0))
	}
	takers.Wait()
	is.Equal(taken.Load()+l.Left(at(0)), int64(1000))
}

func listing(isLender bool, lenders int, first bool, now time.Time) quota.Listing {
	return quota.Listing{IsLender: isLender, Lenders: lenders, First: first, Now: now, MaxListAge: 16 * time.Second}
}

func evidence(known, current bool, now time.Time) quota.Evidence {
	return quota.Evidence{Known: known, Current: current, Now: now, MaxListAge: 16 * time.Second}
}

// A VM that becomes a lender lends once the VM that did so before must have noticed, or at
// once if it joins and all others know it.
func TestLenderWaitsForItsPredecessor(t *testing.T) {
	is := is.New(t)
	var joined quota.Tenure
	joined.List(listing(true, 3, true, at(0)))
	joined.Update(evidence(false, true, at(15*time.Second)))
	is.True(joined.LendingSince.IsZero())
	joined.Update(evidence(true, true, at(16*time.Second)))
	is.Equal(joined.LendingSince, at(16*time.Second))

	var moved quota.Tenure
	moved.List(listing(false, 3, true, at(0)))
	moved.List(listing(true, 3, false, at(time.Second)))
	moved.Update(evidence(true, true, at(20*time.Second)))
	is.True(moved.LendingSince.IsZero())
	moved.Update(evidence(true, true, at(27*time.Second)))
	is.Equal(moved.LendingSince, at(27*time.Second))
}

func TestLenderStopsWhenOthersMayHaveTakenOver(t *testing.T) {
	is := is.New(t)
	var tenure quota.Tenure
	tenure.List(listing(true, 3, true, at(0)))
	tenure.Update(evidence(true, true, at(0)))
	is.True(!tenure.LendingSince.IsZero())
	tenure.Update(evidence(true, false, at(time.Minute)))
	is.True(tenure.LendingSince.IsZero())
	tenure.Update(evidence(true, true, at(61*time.Second)))
	is.Equal(tenure.LendingSince, at(61*time.Second)) // its bucket starts empty
	tenure.List(listing(false, 3, false, at(62*time.Second)))
	is.True(tenure.LendingSince.IsZero())
}

// The parts of the lenders that remain grow only once the one that is gone has stopped.
func TestSharesGrowLate(t *testing.T) {
	is := is.New(t)
	var tenure quota.Tenure
	tenure.List(listing(true, 3, true, at(0)))
	tenure.List(listing(true, 2, false, at(time.Second)))
	tenure.Update(evidence(true, true, at(20*time.Second)))
	is.Equal(tenure.Lenders, 3)
	tenure.Update(evidence(true, true, at(27*time.Second)))
	is.Equal(tenure.Lenders, 2)
	tenure.List(listing(true, 3, false, at(28*time.Second)))
	is.Equal(tenure.Lenders, 3)
}

func TestDemand(t *testing.T) {
	is := is.New(t)
	d := quota.Demand{Quota: chervilladder.Quota{Rate: 10, Burst: 5}, Terms: quota.TermsFor(5 * time.Second), Waiting: 1}
	is.Equal(d.Operations(), chervilladder.Operations(1)) // nothing ahead where demand is rare
	d.Waiting = 1e9
	is.Equal(d.Operations(), chervilladder.Operations(10)) // never more than the quota
	d = quota.Demand{Quota: chervilladder.Quota{Rate: 1000, Burst: 5}, Terms: quota.TermsFor(5 * time.Second)}
	d.Offered.Observe(1000, time.Second)
	ahead := d.Operations()
	is.True(ahead > 0)
	d.Left = int64(ahead)
	is.Equal(d.Operations(), chervilladder.Operations(0))
}

func ExampleOrder() {
	lenders := []chervilladder.VM{{ID: "a", DataCentre: "dc-1"}, {ID: "b", DataCentre: "dc-2"}, {ID: "c", DataCentre: "dc-3"}}
	for _, vm := range quota.Order("dc-2", lenders) {
		fmt.Println(vm.ID)
	}
	// Output:
	// b
	// a
	// c
}
