package slots_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/slots"
)

func TestSlotsAreGrantedInOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := slots.NewQueue(1)
		is.NoErr(q.Acquire(t.Context()))
		var order []int
		for i := range 3 {
			go func() {
				is.NoErr(q.Acquire(t.Context()))
				order = append(order, i)
				q.Release()
			}()
			synctest.Wait()
		}
		is.Equal(q.Load(), slots.Load{Running: 1, Waiting: 3, MaxWaiting: 3})
		q.Release()
		synctest.Wait()
		is.Equal(order, []int{0, 1, 2})
		is.Equal(q.Load(), slots.Load{MaxWaiting: 3})
	})
}

func TestCancelledWaitLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := slots.NewQueue(1)
		is.NoErr(q.Acquire(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		go func() { failed <- q.Acquire(ctx) }()
		synctest.Wait()
		cancel()
		is.Equal(<-failed, context.Canceled)
		q.SetLimit(2)
		is.NoErr(q.Acquire(t.Context()))
		is.Equal(q.Load(), slots.Load{Running: 2, MaxWaiting: 1})
	})
}
