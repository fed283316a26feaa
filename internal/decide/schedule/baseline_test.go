package schedule

import (
	"slices"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// fifo is the baseline scheduler: a single first-come-first-served queue without
// priorities, limits or admission control.
type fifo struct {
	mu      sync.Mutex
	waiting []*Ticket
	slots   []Capacity
	used    map[chervilladder.UpstreamID]int
}

func newFIFO(list []Capacity) *fifo {
	return &fifo{slots: list, used: make(map[chervilladder.UpstreamID]int)}
}

func (f *fifo) Submit(t *Ticket) error {
	t.granted = make(chan chervilladder.UpstreamID, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = append(f.waiting, t)
	f.dispatch()
	return nil
}

func (f *fifo) Withdraw(t *Ticket) {
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

func (f *fifo) finish(_ *Ticket, id chervilladder.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used[id]--
	f.dispatch()
}

// AllowPrimary does nothing: the baseline reads from replicas only.
func (f *fifo) AllowPrimary(*Ticket) {}

// dispatch grants each free slot to the oldest ticket that may use it.
func (f *fifo) dispatch() {
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
