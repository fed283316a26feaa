package session_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/session"
)

// placeCounter is an observer that counts why commands left the data centre.
type placeCounter struct {
	mu     sync.Mutex
	counts map[session.LeaveReason]int
}

func (p *placeCounter) Ended(e session.Ended) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.ForwardedTo != "" {
		p.counts[e.Left]++
	}
}

// writeEvery sends writes of many callers at a rate, and returns how many were served
// within the target of 400 ms.
func writeEvery(t *testing.T, w *clustertest.World, vm int, every, length time.Duration) (served, sent int) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range int(length / every) {
		running.Go(func() {
			s, err := w.VMs[vm].Sessions.Open(clustertest.PrimaryDB, chervilladder.Key(fmt.Sprint("caller ", i%64)))
			if err != nil {
				t.Error(err)
				return
			}
			defer s.Close()
			began := time.Now()
			r := s.Do(context.Background(), write(fmt.Sprint("w", i)))
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.Code == chervilladder.CodeNone && time.Since(began) <= 400*time.Millisecond {
				served++
			}
		})
		time.Sleep(every)
	}
	running.Wait()
	return served, sent
}

// The VM's data centre has one host, which has too few slots for its work; the hosts of
// other data centres have room, 4 ms away. So much must leave that callers are served in
// time, and nothing may leave while the own host has room.
func TestWorkLeavesADataCentreThatHasTooFewHosts(t *testing.T) {
	for name, c := range map[string]struct {
		every     time.Duration
		mayLeave  bool
		wantShare float64
	}{
		"room":    {5 * time.Millisecond, false, 0.99},
		"too few": {1900 * time.Microsecond, true, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			counter := &placeCounter{counts: make(map[session.LeaveReason]int)}
			bubble(t, clustertest.Config{VMs: 4, DataCentres: 2, Observer: counter}, func(is *is.I, w *clustertest.World) {
				// vm-1 and vm-3 are in one data centre, vm-0 and vm-2 in the other.
				w.ForwardToHosts(3, 1, 1, 0, 2)
				for _, other := range []int{0, 2} {
					w.VMs[other].SlowBy.Store(int64(2 * time.Millisecond))
				}
				writeEvery(t, w, 3, c.every, 6*time.Second)
				clear(counter.counts)
				served, sent := writeEvery(t, w, 3, c.every, 10*time.Second)
				t.Logf("%d of %d served within the target; left: %v", served, sent, counter.counts)
				is.True(float64(served) >= c.wantShare*float64(sent))
				left := float64(counter.counts[session.LeftForCost]) / float64(sent)
				if c.mayLeave {
					is.True(left > 0.02 && left < 0.6)
				} else {
					is.Equal(left, 0.0)
				}
				is.Equal(counter.counts[session.LeftNoHost], 0)
			})
		})
	}
}
