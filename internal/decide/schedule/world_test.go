package schedule

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chervilladder/chervilladder"
)

// scheduler is what the bench drives: the product's queue or a baseline.
type scheduler interface {
	Submit(t *Ticket) error
	Withdraw(t *Ticket)
	finish(t *Ticket, at chervilladder.UpstreamID)
	Fallback(t *Ticket)
}

// load is one stream of work with exponential gaps between arrivals.
type load struct {
	class     chervilladder.Class
	caller    string
	access    chervilladder.Access
	perSecond float64
	// mean is the mean service time: half of it fixed, half exponential.
	mean time.Duration
}

// result is what became of one load.
type result struct {
	offered, done, inTarget, refused, expired int
	times                                     []time.Duration
	primaryTime, replicaTime                  time.Duration
}

// upstream is a fake member: its slots, and how much slower than usual it is.
type upstream struct {
	Capacity
	running chan struct{}
	slow    func(since time.Duration) float64
	// present counts the work that runs or waits for a slot at the
	// upstream, peak is its highest count.
	present, peak int
}

// world is one run of a scenario in virtual time.
type world struct {
	name     string
	loads    []load
	length   time.Duration
	members  []*upstream
	make     func() scheduler
	proxies  int
	loseAt   time.Duration
	takeover time.Duration

	began   time.Time
	mu      sync.Mutex
	queues  []scheduler
	gone    chan struct{}
	back    chan struct{}
	results []result
	idle    idleMeter
}

func threeUpstreams(slots int) []*upstream {
	var list []*upstream
	for i, id := range []chervilladder.UpstreamID{"a", "b", "c"} {
		c := Capacity{Upstream: id, Slots: slots, Primary: i == 0}
		list = append(list, &upstream{Capacity: c})
	}
	return list
}

func capacities(list []*upstream, slots int) []Capacity {
	var out []Capacity
	for _, u := range list {
		out = append(out, Capacity{Upstream: u.Upstream, Slots: slots, Primary: u.Primary})
	}
	return out
}

// run plays the scenario; the seed fixes arrivals and service times.
func (w *world) run(t *testing.T, seed uint64) {
	synctest.Test(t, func(*testing.T) {
		for _, u := range w.members {
			u.running = make(chan struct{}, u.Slots)
		}
		w.began = time.Now()
		w.queues, w.results = nil, make([]result, len(w.loads))
		w.gone, w.back = make(chan struct{}), make(chan struct{})
		w.idle = idleMeter{slots: w.members[0].Slots, since: time.Now()}
		for range w.proxies {
			w.queues = append(w.queues, w.make())
		}
		var jobs sync.WaitGroup
		if w.loseAt > 0 {
			jobs.Go(w.loseOwner)
		}
		for i := range w.loads {
			jobs.Go(func() { w.arrivals(&jobs, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		jobs.Wait()
	})
}

func (w *world) arrivals(jobs *sync.WaitGroup, i int, r *rand.Rand) {
	l, began := &w.loads[i], time.Now()
	for {
		time.Sleep(time.Duration(r.ExpFloat64() / l.perSecond * float64(time.Second)))
		if time.Since(began) > w.length {
			return
		}
		service := time.Duration(float64(l.mean) * (1 + r.ExpFloat64()) / 2)
		proxy := r.IntN(w.proxies)
		since := time.Since(began)
		jobs.Go(func() { w.job(l, &w.results[i], service, proxy, since) })
	}
}

// loseOwner takes the first queue away and brings a new one after a pause.
func (w *world) loseOwner() {
	time.Sleep(w.loseAt)
	w.mu.Lock()
	w.queues[0] = nil
	close(w.gone)
	w.mu.Unlock()
	time.Sleep(w.takeover)
	w.mu.Lock()
	w.queues[0] = w.make()
	close(w.back)
	w.gone = make(chan struct{})
	w.mu.Unlock()
}

func (w *world) queue(proxy int) (scheduler, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if proxy != 0 {
		return w.queues[proxy], nil
	}
	return w.queues[0], w.gone
}

func (w *world) job(l *load, r *result, service time.Duration, proxy int, since time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(l.class.Deadline))
	defer cancel()
	w.count(func() { r.offered++ })
	for {
		q, gone := w.queue(proxy)
		if q == nil {
			select {
			case <-w.back:
				continue
			case <-ctx.Done():
				w.count(func() { r.expired++ })
				return
			}
		}
		t := l.ticket(began)
		w.idle.change(l, 1, 0)
		if err := q.Submit(t); err != nil {
			w.idle.change(l, -1, 0)
			w.count(func() { r.refused++ })
			return
		}
		fallback := time.AfterFunc(time.Until(t.ReplicaOnlyUntil), func() { q.Fallback(t) })
		select {
		case id, ok := <-t.granted:
			fallback.Stop()
			w.idle.change(l, -1, 0)
			if !ok {
				w.count(func() { r.refused++ })
				return
			}
			answered := w.serve(l, r, id, service, since, t.Deadline)
			q.finish(t, id)
			if answered {
				w.finished(l, r, time.Since(began))
			} else {
				w.count(func() { r.expired++ })
			}
			return
		case <-gone:
			fallback.Stop()
			w.idle.change(l, -1, 0)
		case <-ctx.Done():
			fallback.Stop()
			w.idle.change(l, -1, 0)
			q.Withdraw(t)
			w.count(func() { r.expired++ })
			return
		}
	}
}

func (l *load) ticket(now time.Time) *Ticket {
	return &Ticket{
		Priority: l.class.Priority, Class: l.class.ID, Caller: l.caller, Target: l.class.Target, FloorPercent: l.class.FloorPercent, Access: l.access, Deadline: now.Add(l.class.Deadline),
		Readable:         func(chervilladder.UpstreamID) bool { return true },
		ReplicaOnlyUntil: now.Add(l.class.Target / 2),
	}
}

// serve runs work at an upstream, which queues what exceeds its slots, and
// reports whether it was answered by its deadline.
func (w *world) serve(l *load, r *result, id chervilladder.UpstreamID, service, since time.Duration, deadline time.Time) bool {
	i := slices.IndexFunc(w.members, func(u *upstream) bool { return u.Upstream == id })
	u := w.members[i]
	if u.slow != nil {
		service = time.Duration(float64(service) * u.slow(since))
	}
	w.count(func() {
		u.present++
		u.peak = max(u.peak, u.present)
	})
	u.running <- struct{}{}
	if u.Primary {
		w.idle.change(l, 0, 1)
	}
	answered := time.Until(deadline) >= service
	service = max(0, min(service, time.Until(deadline)))
	time.Sleep(service)
	<-u.running
	if u.Primary {
		w.idle.change(l, 0, -1)
	}
	w.count(func() {
		u.present--
		if time.Since(w.began) > w.length {
			return
		}
		if u.Primary {
			r.primaryTime += service
		} else {
			r.replicaTime += service
		}
	})
	return answered
}

func (w *world) finished(l *load, r *result, took time.Duration) {
	w.count(func() {
		r.done++
		r.times = append(r.times, took)
		if took <= l.class.Target {
			r.inTarget++
		}
	})
}

func (w *world) count(add func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add()
}

// idleMeter adds up the time of primary slots that are free while a write
// waits.
type idleMeter struct {
	mu                      sync.Mutex
	slots, waiting, running int
	since                   time.Time
	total                   time.Duration
}

func (m *idleMeter) change(l *load, waiting, running int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.waiting > 0 {
		m.total += time.Duration(m.slots-m.running) * now.Sub(m.since)
	}
	m.since = now
	m.running += running
	if l.access == chervilladder.AccessWrite {
		m.waiting += waiting
	}
}

func (r *result) percentile(p float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[int(p*float64(len(r.times)-1))].Round(100 * time.Microsecond)
}

// report prints one line for each load.
func (w *world) report(t *testing.T) {
	for i, l := range w.loads {
		r := &w.results[i]
		whole := w.length.Seconds() * float64(w.members[0].Slots)
		t.Logf("%-24s %-10s offered %6d done %6d in-target %6.2f%% p50 %8v p99 %8v refused %6d expired %6d primary %5.1f%% replica %5.1f%%",
			w.name, l.class.ID+chervilladder.ClassID(l.caller), r.offered, r.done,
			100*float64(r.inTarget)/float64(max(1, r.offered)), r.percentile(0.5), r.percentile(0.99), r.refused, r.expired,
			100*r.primaryTime.Seconds()/whole, 100*r.replicaTime.Seconds()/(whole*float64(max(1, len(w.members)-1))))
	}
	t.Logf("%-24s idle primary slot time while writes wait: %v; most work at the primary at once: %d",
		w.name, w.idle.total.Round(time.Microsecond), w.members[0].peak)
}
