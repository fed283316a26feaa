package burn

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// key names a class of a service.
type key struct {
	service chervilladder.ServiceID
	class   chervilladder.ClassID
}

// Recorder records the events of one VM. The zero value is ready for use. It
// is safe for use by several goroutines.
type Recorder struct {
	// series is replaced as a whole when a class is first seen.
	series atomic.Pointer[map[key]*series]
	// mu is held by those who replace series.
	mu sync.Mutex
}

// Record records an event. It takes a lock only for the first event of a
// class, and for the first of a class in a minute.
func (r *Recorder) Record(e Event) {
	k := key{e.Service, e.Class}
	s := r.find(k)
	if s == nil {
		s = r.add(k)
	}
	s.record(minuteOf(time.Now()), e)
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (r *Recorder) find(k key) *series {
	held := r.series.Load()
	if held == nil {
		return nil
	}
	return (*held)[k]
}

func (r *Recorder) add(k key) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.find(k); s != nil {
		return s
	}
	next := map[key]*series{k: {}}
	if held := r.series.Load(); held != nil {
		maps.Copy(next, *held)
	}
	r.series.Store(&next)
	return next[k]
}

// retain drops the classes for which keep is false.
func (r *Recorder) retain(keep func(key) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.series.Load()
	if held == nil {
		return
	}
	next := make(map[key]*series, len(*held))
	for k, s := range *held {
		if keep(k) {
			next[k] = s
		}
	}
	r.series.Store(&next)
}
