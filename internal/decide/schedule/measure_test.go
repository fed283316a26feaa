package schedule

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

var (
	measure = flag.Bool("measure", false, "run the scenarios at full length, with the baselines")
	// measureSeed determines the arrivals and service times.
	measureSeed = flag.Uint64("measure-seed", 18, "seed of the scenarios")
)

// proxyCount is the number of proxies of the baseline without owners, each of which
// schedules on its own.
const proxyCount = 5

var (
	urgent     = chervilladder.Class{ID: "urgent", Priority: chervilladder.PriorityUrgent, Target: 100 * time.Millisecond, Deadline: time.Second}
	normal     = chervilladder.Class{ID: "normal", Priority: chervilladder.PriorityNormal, Target: 300 * time.Millisecond, Deadline: 2 * time.Second, FloorPercent: 10}
	background = chervilladder.Class{ID: "background", Priority: chervilladder.PriorityBackground, Target: 2 * time.Second, Deadline: 5 * time.Second, FloorPercent: 5}
)

func stream(c chervilladder.Class, a chervilladder.Access, perSecond float64, mean time.Duration) load {
	return load{class: c, access: a, perSecond: perSecond, mean: mean}
}

// scenario is a workload for the queue and the baseline schedulers.
type scenario struct {
	name  string
	slots int
	loads []load
	// slow returns the factor by which the third upstream is slower than usual,
	// by the time since the start; nil if it isn't.
	slow func(time.Duration) float64
	// loseOwnerAt and takeover are those of the simulation.
	loseOwnerAt time.Duration
	takeover    time.Duration
}

const (
	write = chervilladder.AccessWrite
	read  = chervilladder.AccessRead
	short = 10 * time.Millisecond
)

func scenarios() []scenario {
	moderate := []load{stream(urgent, write, 30, short), stream(normal, read, 100, short), stream(normal, write, 20, short), stream(background, write, 20, short)}
	lowestFlood := append(append([]load(nil), moderate[:3]...), stream(background, write, 3000, short))
	urgentFlood := append([]load{stream(urgent, write, 3000, short)}, stream(normal, read, 100, short), stream(normal, write, 100, short), stream(background, write, 100, short))
	long := append(append([]load(nil), moderate[:3]...), stream(background, write, 20, 2*time.Second))
	mixed := append(append([]load(nil), moderate[:3]...), stream(background, write, 100, short), stream(background, write, 3, 2*time.Second))
	reads := []load{stream(urgent, read, 60, short), stream(normal, read, 200, short), stream(background, read, 3000, short)}
	callers := []load{stream(normal, write, 20, short), stream(normal, write, 60, short), stream(normal, write, 3000, short)}
	for i, name := range []string{"-a", "-b", "-floods"} {
		callers[i].caller = name
	}
	equal := []load{stream(normal, write, 300, short), stream(normal, write, 1000, short), stream(normal, write, 3000, short)}
	for i, name := range []string{"-1x", "-3x", "-10x"} {
		equal[i].caller = name
	}
	tight := urgent
	tight.Target = 30 * time.Millisecond
	slowsAfterStart := func(factor float64) func(time.Duration) float64 {
		return func(since time.Duration) float64 {
			if since < 2*time.Second {
				return 1
			}
			return factor
		}
	}
	return []scenario{
		{name: "unloaded", slots: 3, loads: moderate[:1]},
		{name: "calm", slots: 3, loads: moderate},
		{name: "flood-lowest", slots: 3, loads: lowestFlood},
		{name: "flood-lowest-2-slots", slots: 2, loads: lowestFlood},
		{name: "flood-urgent", slots: 3, loads: urgentFlood},
		{name: "owner-lost-0.5s", slots: 3, loads: lowestFlood, loseOwnerAt: 5 * time.Second, takeover: 500 * time.Millisecond},
		{name: "owner-lost-1.5s", slots: 3, loads: lowestFlood, loseOwnerAt: 5 * time.Second, takeover: 1500 * time.Millisecond},
		{name: "long-transactions", slots: 3, loads: long},
		{name: "long-transactions-2", slots: 2, loads: long},
		{name: "mixed-transactions", slots: 3, loads: mixed},
		{name: "caller-floods", slots: 3, loads: callers},
		{name: "busy-tight-target", slots: 3, loads: []load{stream(tight, write, 270, short)}},
		{name: "callers-share", slots: 3, loads: equal},
		{name: "replica-silent", slots: 3, loads: reads, slow: slowsAfterStart(1e5)},
		{name: "replica-slows", slots: 3, loads: reads, slow: slowsAfterStart(10)},
	}
}

func (s scenario) simulation(name string, proxies int, build func() scheduler) *simulation {
	sim := &simulation{
		name: s.name + " " + name, loads: s.loads, length: 10 * time.Second, members: threeUpstreams(s.slots),
		make: build, proxies: proxies, loseOwnerAt: s.loseOwnerAt, takeover: s.takeover,
	}
	sim.members[2].slow = s.slow
	return sim
}

// simulations returns the simulation of the queue, which the printed figures call
// "ours", and with -measure those of the baselines.
func (s scenario) simulations() []*simulation {
	list := capacities(threeUpstreams(s.slots), s.slots)
	queue := s.simulation("ours", 1, func() scheduler { return newQueueScheduler(list) })
	if !*measure {
		return []*simulation{queue}
	}
	share := capacities(threeUpstreams(s.slots), max(1, s.slots/proxyCount))
	return []*simulation{
		s.simulation("proxies", proxyCount, func() scheduler { return newFIFO(share) }),
		s.simulation("fcfs", 1, func() scheduler { return newFIFO(list) }),
		queue,
	}
}

// queueScheduler is the queue as a scheduler.
type queueScheduler struct{ *Queue }

func newQueueScheduler(list []Capacity) queueScheduler {
	q := &Queue{}
	q.Configure(list)
	return queueScheduler{q}
}

func (s queueScheduler) finish(t *Ticket, _ chervilladder.UpstreamID) { s.Release(t) }

// TestMeasureScenarios prints the figures of docs/MEASURES.md:
//
//	go test -run TestMeasureScenarios -v ./internal/decide/schedule -measure
//
// Without the flag it runs only the queue, for one second of virtual time.
func TestMeasureScenarios(t *testing.T) {
	for _, s := range scenarios() {
		for _, sim := range s.simulations() {
			if !*measure {
				sim.length = time.Second
			}
			t.Run(sim.name, func(t *testing.T) {
				sim.run(t, *measureSeed)
				sim.report(t)
			})
		}
	}
}

// TestReservedSharesUnderUrgentLoad floods the primary with the most urgent work and
// checks that each less urgent class gets its FloorPercent of the slot time, to half
// a percentage point.
func TestReservedSharesUnderUrgentLoad(t *testing.T) {
	i := slices.IndexFunc(scenarios(), func(s scenario) bool { return s.name == "flood-urgent" })
	s := scenarios()[i]
	sim := s.simulation("ours", 1, func() scheduler { return newQueueScheduler(capacities(threeUpstreams(s.slots), s.slots)) })
	sim.run(t, *measureSeed)
	for i, l := range sim.loads {
		if l.access == read || l.class.FloorPercent == 0 {
			continue
		}
		percent := 100 * sim.results[i].primaryTime.Seconds() / (sim.length.Seconds() * float64(s.slots))
		is.New(t).True(math.Abs(percent-float64(l.class.FloorPercent)) < 0.5) // the class gets its reserved share
	}
}
