package quota_test

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// TestMain fixes the seed of the property tests unless another one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is what happens to a system in a history.
type fault int

// The faults. Each ends after a time, except that a VM that is replaced doesn't return.
const (
	killOne fault = iota
	killAll
	freezeOne
	cutFromVMs
	cutFromStore
	storeDown
	replaceOne
	addOne
	partition
	faults
)

// event is a fault of one VM, or of all, for a time.
type event struct {
	fault fault
	vm    int
	after time.Duration // since the event before
	lasts time.Duration
}

// happen applies an event to the world.
func (w *world) happen(e event) {
	w.mu.Lock()
	vms := w.vms
	v := vms[e.vm%len(vms)]
	w.mu.Unlock()
	later := func(undo func()) {
		w.running.Go(func() {
			sleep(w.ctx, e.lasts)
			undo()
		})
	}
	locked := func(change func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		change()
	}
	switch e.fault {
	case killOne:
		v.kill()
		later(v.start)
	case killAll:
		for _, v := range vms {
			v.kill()
			later(v.start)
		}
	case freezeOne:
		v.freeze()
		later(v.thaw)
	case cutFromVMs:
		locked(func() { v.side = 1 + e.vm%len(vms) })
		later(func() { locked(func() { v.side = 0 }) })
	case cutFromStore:
		locked(func() { v.storeCut = true })
		later(func() { locked(func() { v.storeCut = false }) })
	case storeDown:
		locked(func() { w.storeDown = true })
		later(func() { locked(func() { w.storeDown = false }) })
	case replaceOne:
		v.kill()
		w.add()
	case addOne:
		w.add()
	case partition: // a minority is cut off from the store and the other VMs
		minority := vms[:(len(vms)-1)/2]
		locked(func() {
			for _, v := range minority {
				v.side, v.storeCut = -1, true
			}
		})
		later(func() {
			locked(func() {
				for _, v := range minority {
					v.side, v.storeCut = 0, false
				}
			})
		})
	}
}

func drawEvents(t *rapid.T) []event {
	seconds := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Second
	}
	events := make([]event, rapid.IntRange(1, 5).Draw(t, "events"))
	for i := range events {
		events[i] = event{
			fault: fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")),
			vm:    rapid.IntRange(0, 9).Draw(t, "vm"),
			after: seconds("after", 0, 20),
			lasts: seconds("lasts", 1, 90),
		}
	}
	return events
}

// The operations that a flood gets stay within the quota in any window, whatever happens
// to the VMs, their network and the store.
func TestNoHistoryExceedsTheQuota(t *testing.T) {
	q := chervilladder.Quota{Rate: 100, Burst: 30}
	limit := 1.1*(float64(q.Rate)*window.Seconds()+float64(q.Burst)) + 20
	rapid.Check(t, func(r *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(r, "vms")
		events := drawEvents(r)
		most := 0
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(vms, map[chervilladder.AccountID]chervilladder.Quota{tenant: q}, 1)
			defer w.end()
			load(w, tenant, 600, even(vms), trafficFrom)
			for _, e := range events {
				time.Sleep(e.after)
				before := len(w.vms)
				w.happen(e)
				for _, v := range w.vms[before:] {
					w.running.Go(func() { w.offer(w.ctx, v, tenant, 600/float64(vms)) })
				}
			}
			time.Sleep(60 * time.Second)
			most = w.accounts[tenant].most()
		})
		is := is.New(r)
		is.True(float64(most) <= limit)
	})
}
