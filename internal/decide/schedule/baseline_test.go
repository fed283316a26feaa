package schedule

import (
	"slices"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// firstCome is the baseline: one line of work, first come first served, with
// no order by priority, no bound and no estimate.
type firstCome struct {
	mu      sync.Mutex
	waiting []*Ticket
	slots   []Capacity
	used    map[chervilladder.UpstreamID]int
}

func newFirstCome(list []Capacity) *firstCome {
	return &firstCome{slots: list, used: make(map[chervilladder.UpstreamID]int)}
}

func (f *firstCome) Submit(t *Ticket) error {
	t.granted = make(chan chervilladder.UpstreamID, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = append(f.waiting, t)
	f.dispatch()
	return nil
}

func (f *firstCome) Withdraw(t *Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case id := <-t.granted:
		f.used[id]--
	default:
		if i := slices.Index(f.waiting, t); i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
		}
	}
	f.dispatch()
}

func (f *firstCome) finish(_ *Ticket, id chervilladder.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used[id]--
	f.dispatch()
}

// Fallback does nothing: the baseline reads from replicas only.
func (f *firstCome) Fallback(*Ticket) {}

// dispatch serves the oldest work that each free slot may run.
func (f *firstCome) dispatch() {
	for _, s := range f.slots {
		for f.used[s.Upstream] < s.Slots {
			i := slices.IndexFunc(f.waiting, func(t *Ticket) bool {
				return s.Primary != (t.Access == chervilladder.AccessRead)
			})
			if i < 0 {
				break
			}
			f.used[s.Upstream]++
			f.waiting[i].granted <- s.Upstream
			f.waiting = slices.Delete(f.waiting, i, i+1)
		}
	}
}
