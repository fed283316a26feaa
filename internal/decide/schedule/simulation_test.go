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

// scheduler is what a simulation drives: the queue or the baseline.
type scheduler interface {
	Submit(t *Ticket) error
	Withdraw(t *Ticket)
	finish(t *Ticket, at chervilladder.UpstreamID)
	AllowPrimary(t *Ticket)
}

// load is one stream of work with exponentially distributed gaps between arrivals.
type load struct {
	class     chervilladder.Class
	caller    string
	access    chervilladder.Access
	perSecond float64
	// mean is the mean service time: half of it is fixed, the other half has an
	// exponential distribution.
	mean time.Duration
}

// result holds the counts and times of one load.
type result struct {
	offered, done, inTarget, refused, expired int
	times                                     []time.Duration
	primaryTime, replicaTime                  time.Duration
}

// upstream simulates a member: its slots, and the factor by which it is slower than
// usual.
type upstream struct {
	Capacity
	running chan struct{}
	slow    func(since time.Duration) float64
	// present counts the work that runs or waits for a slot at the
	// upstream; peak is its maximum.
	present, peak int
}

// simulation is one run of a scenario in virtual time.
type simulation struct {
	name    string
	loads   []load
	length  time.Duration
	members []*upstream
	make    func() scheduler
	proxies int
	// loseOwnerAt is when the first queue is removed, from the start; zero if it
	// isn't. takeover is how long it takes until a new queue replaces it.
	loseOwnerAt time.Duration
	takeover    time.Duration

	began    time.Time
	mu       sync.Mutex
	queues   []scheduler
	lost     chan struct{}
	replaced chan struct{}
	results  []result
	idle     idleMeter
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

// run simulates the scenario; the seed determines arrivals and service times.
func (s *simulation) run(t *testing.T, seed uint64) {
	synctest.Test(t, func(*testing.T) {
		for _, u := range s.members {
			u.running = make(chan struct{}, u.Slots)
		}
		s.began = time.Now()
		s.queues, s.results = nil, make([]result, len(s.loads))
		s.lost, s.replaced = make(chan struct{}), make(chan struct{})
		s.idle = idleMeter{slots: s.members[0].Slots, since: time.Now()}
		for range s.proxies {
			s.queues = append(s.queues, s.make())
		}
		var jobs sync.WaitGroup
		if s.loseOwnerAt > 0 {
			jobs.Go(s.loseOwner)
		}
		for i := range s.loads {
			jobs.Go(func() { s.arrivals(&jobs, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		jobs.Wait()
	})
}

func (s *simulation) arrivals(jobs *sync.WaitGroup, i int, r *rand.Rand) {
	l, began := &s.loads[i], time.Now()
	for {
		time.Sleep(time.Duration(r.ExpFloat64() / l.perSecond * float64(time.Second)))
		if time.Since(began) > s.length {
			return
		}
		service := time.Duration(float64(l.mean) * (1 + r.ExpFloat64()) / 2)
		proxy := r.IntN(s.proxies)
		since := time.Since(began)
		jobs.Go(func() { s.job(l, &s.results[i], service, proxy, since) })
	}
}

// loseOwner removes the first queue and replaces it by a new one after the takeover
// time.
func (s *simulation) loseOwner() {
	time.Sleep(s.loseOwnerAt)
	s.mu.Lock()
	s.queues[0] = nil
	close(s.lost)
	s.mu.Unlock()
	time.Sleep(s.takeover)
	s.mu.Lock()
	s.queues[0] = s.make()
	close(s.replaced)
	s.lost = make(chan struct{})
	s.mu.Unlock()
}

func (s *simulation) queue(proxy int) (scheduler, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if proxy != 0 {
		return s.queues[proxy], nil
	}
	return s.queues[0], s.lost
}

func (s *simulation) job(l *load, r *result, service time.Duration, proxy int, since time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(l.class.Deadline))
	defer cancel()
	s.locked(func() { r.offered++ })
	for {
		q, lost := s.queue(proxy)
		if q == nil {
			select {
			case <-s.replaced:
				continue
			case <-ctx.Done():
				s.locked(func() { r.expired++ })
				return
			}
		}
		t := l.ticket(began)
		s.idle.change(l, 1, 0)
		if err := q.Submit(t); err != nil {
			s.idle.change(l, -1, 0)
			s.locked(func() { r.refused++ })
			return
		}
		allowPrimary := time.AfterFunc(time.Until(t.ReplicaOnlyUntil), func() { q.AllowPrimary(t) })
		select {
		case id, ok := <-t.granted:
			allowPrimary.Stop()
			s.idle.change(l, -1, 0)
			if !ok {
				s.locked(func() { r.refused++ })
				return
			}
			answered := s.serve(l, r, id, service, since, t.Deadline)
			q.finish(t, id)
			if answered {
				s.finished(l, r, time.Since(began))
			} else {
				s.locked(func() { r.expired++ })
			}
			return
		case <-lost:
			allowPrimary.Stop()
			s.idle.change(l, -1, 0)
		case <-ctx.Done():
			allowPrimary.Stop()
			s.idle.change(l, -1, 0)
			q.Withdraw(t)
			s.locked(func() { r.expired++ })
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

// serve runs work at an upstream, where work beyond the number of slots waits, and
// reports whether it was answered by its deadline.
func (s *simulation) serve(l *load, r *result, id chervilladder.UpstreamID, service, since time.Duration, deadline time.Time) bool {
	i := slices.IndexFunc(s.members, func(u *upstream) bool { return u.Upstream == id })
	u := s.members[i]
	if u.slow != nil {
		service = time.Duration(float64(service) * u.slow(since))
	}
	s.locked(func() {
		u.present++
		u.peak = max(u.peak, u.present)
	})
	u.running <- struct{}{}
	if u.Primary {
		s.idle.change(l, 0, 1)
	}
	answered := time.Until(deadline) >= service
	service = max(0, min(service, time.Until(deadline)))
	time.Sleep(service)
	<-u.running
	if u.Primary {
		s.idle.change(l, 0, -1)
	}
	s.locked(func() {
		u.present--
		if time.Since(s.began) > s.length {
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

func (s *simulation) finished(l *load, r *result, took time.Duration) {
	s.locked(func() {
		r.done++
		r.times = append(r.times, took)
		if took <= l.class.Target {
			r.inTarget++
		}
	})
}

// locked calls a function that accesses the results, with the lock held.
func (s *simulation) locked(access func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	access()
}

// idleMeter sums the time during which slots of the primary are free while a write
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

// report logs one line for each load, and one for the primary.
func (s *simulation) report(t *testing.T) {
	for i, l := range s.loads {
		r := &s.results[i]
		whole := s.length.Seconds() * float64(s.members[0].Slots)
		t.Logf("%-24s %-10s offered %6d done %6d in-target %6.2f%% p50 %8v p99 %8v refused %6d expired %6d primary %5.1f%% replica %5.1f%%",
			s.name, l.class.ID+chervilladder.ClassID(l.caller), r.offered, r.done,
			100*float64(r.inTarget)/float64(max(1, r.offered)), r.percentile(0.5), r.percentile(0.99), r.refused, r.expired,
			100*r.primaryTime.Seconds()/whole, 100*r.replicaTime.Seconds()/(whole*float64(max(1, len(s.members)-1))))
	}
	t.Logf("%-24s idle primary slot time while writes wait: %v; most work at the primary at once: %d",
		s.name, s.idle.total.Round(time.Microsecond), s.members[0].peak)
}
