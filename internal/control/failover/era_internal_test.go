package failover

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/chervilladder/chervilladder"
)

// eraRecord is the record of a store that comes back from copies.
type eraRecord struct {
	current chervilladder.Leadership
	era     chervilladder.Era
}

func (r *eraRecord) ReadLeadership(context.Context) (chervilladder.Leadership, error) {
	l := r.current
	l.Revision.Era = r.era
	return l, nil
}

func (r *eraRecord) WriteLeadership(ctx context.Context, l chervilladder.Leadership) (chervilladder.Leadership, error) {
	if l.Revision.Revision != r.current.Revision.Revision { // the condition names no era
		current, _ := r.ReadLeadership(ctx)
		return l, &chervilladder.LeadershipConflictError{Current: current}
	}
	l.Revision.Revision++
	r.current = l
	return r.ReadLeadership(ctx)
}

func (r *eraRecord) restore(c chervilladder.Leadership) {
	r.current = c
	r.era++
}

func bubbleOfEras(t *testing.T, f func(is *is.I, r *eraRecord, vm func(chervilladder.VMID) *leadership)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := &eraRecord{era: 1}
		f(is.New(t), r, func(id chervilladder.VMID) *leadership {
			return &leadership{self: id, record: r, log: log, clock: time.Now, acquiring: semaphore.NewWeighted(1)}
		})
	})
}

// A holder of before the drill may give orders for a second. A VM that has just started and
// finds no holder in the copy must not give any in that time.
func TestLeadershipOfANewEraIsTakenAfterALease(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, r *eraRecord, vm func(chervilladder.VMID) *leadership) {
		before := vm("before")
		before.initialize(context.Background())
		_, orderUntil, err := before.acquire(context.Background(), "agenda", 2)
		is.NoErr(err)
		r.restore(chervilladder.Leadership{})
		for time.Now().Before(orderUntil) {
			_, _, err := vm("started").acquire(context.Background(), "agenda", 2)
			var newEra *newEraError
			is.True(errors.As(err, &newEra))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// The holder of before takes the leadership again by itself, unless another VM has.
func TestHolderOfBeforeReclaimsTheLeadershipInANewEra(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, r *eraRecord, vm func(chervilladder.VMID) *leadership) {
		holder, other := vm("holder"), vm("other")
		holder.initialize(context.Background())
		copied := r.current
		first, _, err := holder.acquire(context.Background(), "agenda", 2)
		is.NoErr(err)
		r.restore(copied)
		is.True(holder.lostToANewEra(2))
		began := time.Now()
		holder.reclaim(context.Background())
		is.True(time.Since(began) >= takeOverAfter)
		is.True(time.Since(began) < takeOverAfter+2*initRetryPause)
		again, _, err := holder.acquire(context.Background(), "agenda", 3)
		is.NoErr(err)
		is.True(again.Epoch > first.Epoch)
		r.restore(copied)
		time.Sleep(time.Second)
		other.claimUntil(context.Background(), inForce)
		holder.reclaim(context.Background())
		is.Equal(r.current.Holder, chervilladder.VMID("other"))
	})
}

// A holder of before writes the record by a revision that exists in the new era too, and
// replaces that of a holder of the new era. The next epoch must be above that one's, which
// the record no longer shows.
func TestEpochRisesThoughARecordOfTheNewEraWasReplaced(t *testing.T) {
	bubbleOfEras(t, func(is *is.I, r *eraRecord, vm func(chervilladder.VMID) *leadership) {
		before, after := vm("before"), vm("after")
		before.initialize(context.Background())
		r.restore(chervilladder.Leadership{})
		after.initialize(context.Background())
		taken := r.current
		is.Equal(taken.Revision.Revision, chervilladder.Revision(1)) // that of the first era's record
		_, _, err := before.acquire(context.Background(), "agenda", 2)
		var newEra *newEraError
		is.True(errors.As(err, &newEra)) // it may order nothing
		is.Equal(r.current.Holder, chervilladder.VMID("before"))
		next := vm("next")
		next.claimUntil(context.Background(), inForce)
		is.Equal(r.current.Holder, chervilladder.VMID("next"))
		is.True(r.current.Epoch > taken.Epoch)
	})
}
