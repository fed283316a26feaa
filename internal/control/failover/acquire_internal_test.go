package failover

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/chervilladder/chervilladder"
)

// slowRecord takes some time for each call.
type slowRecord struct {
	mu      sync.Mutex
	current chervilladder.Leadership
}

const callTime = 4 * time.Millisecond

func (r *slowRecord) ReadLeadership(context.Context) (chervilladder.Leadership, error) {
	time.Sleep(callTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, nil
}

func (r *slowRecord) WriteLeadership(_ context.Context, l chervilladder.Leadership) (chervilladder.Leadership, error) {
	time.Sleep(callTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Revision != r.current.Revision {
		return l, &chervilladder.LeadershipConflictError{Current: r.current}
	}
	l.Revision.Revision++
	r.current = l
	return l, nil
}

// Replacements of several services at one VM renew the record at the same time. A conflict
// with a write of the same VM ended them with their replicas paused (regression: users'
// incident).
func TestAttemptsOfOneVMDoNotConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := &leadership{self: "vm-0", record: &slowRecord{}, log: log, clock: time.Now, acquiring: semaphore.NewWeighted(1)}
		errs := make(chan error, 3)
		services := []chervilladder.ServiceID{"agenda", "cases", "rooms"}
		for _, s := range services {
			go func() {
				var failed error
				for range 5 {
					_, _, err := l.acquire(t.Context(), s, 2)
					failed = errors.Join(failed, err)
				}
				errs <- failed
			}()
		}
		for range services {
			is.NoErr(<-errs)
		}
	})
}
