package burn

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// classKey identifies a class of a service.
type classKey struct {
	service chervilladder.ServiceID
	class   chervilladder.ClassID
}

// Recorder records the events of one VM. The zero value is ready for use. It
// is safe for concurrent use.
type Recorder struct {
	// series is copied and replaced when a class has its first event or is
	// dropped.
	series atomic.Pointer[map[classKey]*series]
	// mu is held while series is replaced.
	mu sync.Mutex
}

// Record records an event. It takes a lock only for the first event of a class
// and for the first event of a class in each minute.
func (r *Recorder) Record(e Event) {
	k := classKey{e.Service, e.Class}
	s := r.find(k)
	if s == nil {
		s = r.add(k)
	}
	s.record(minuteOf(time.Now()), e)
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (r *Recorder) find(k classKey) *series {
	current := r.series.Load()
	if current == nil {
		return nil
	}
	return (*current)[k]
}

func (r *Recorder) add(k classKey) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.find(k); s != nil {
		return s
	}
	next := map[classKey]*series{k: {}}
	if current := r.series.Load(); current != nil {
		maps.Copy(next, *current)
	}
	r.series.Store(&next)
	return next[k]
}

// retain drops the classes for which keep is false.
func (r *Recorder) retain(keep func(classKey) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.series.Load()
	if current == nil {
		return
	}
	next := make(map[classKey]*series, len(*current))
	for k, s := range *current {
		if keep(k) {
			next[k] = s
		}
	}
	r.series.Store(&next)
}
