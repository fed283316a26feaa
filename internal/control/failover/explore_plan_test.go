package failover_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// step is a step of a replacement, to which a disruption can be tied.
type step string

const (
	atTime     step = "time"
	atPause    step = "pause"
	atStepDown step = "step-down"
	atResume   step = "resume"
	atOrder    step = "order"
	atRecord   step = "record"
	// atEffect is the n-th order that the platform accepts. What is tied to it changes when
	// that order takes effect.
	atEffect step = "effect"
)

// disruption is one disruption of a play. It begins after a time, or that long after the
// n-th occurrence of a step.
type disruption struct {
	number int
	at     step
	nth    int
	after  time.Duration
	kind   string
	// member and vm are numbers, or primary or candidate. The VM -1 is the one that made the
	// step.
	member, vm int
	lasts      time.Duration
}

// Members of a disruption that are known once it begins.
const (
	// primary is the primary at the time.
	primary = -1
	// candidate is the member whose promotion was ordered last.
	candidate = -2
)

func (d disruption) String() string {
	return fmt.Sprintf("#%d %s/%d + %v: %s member %d vm %d for %v", d.number, d.at, d.nth, d.after, d.kind, d.member, d.vm, d.lasts)
}

// plan is one play, drawn from a seed.
type plan struct {
	seed        uint64
	vms         int
	members     int
	entryTerms  bool
	promoteTime time.Duration
	// lateOrders is set for the plays of drawLatePlan.
	lateOrders bool
	list       []disruption
}

func (p plan) String() string {
	return fmt.Sprintf("members %d vms %d entry terms %v promotion takes %v\n%v", p.members, p.vms, p.entryTerms, p.promoteTime, p.list)
}

// promoteTimes returns how long after its acceptance the n-th order takes effect.
func (p plan) promoteTimes(n int) []time.Duration {
	times := []time.Duration{p.promoteTime}
	for _, d := range p.list {
		switch {
		case d.at != atEffect || d.nth != n:
		case d.kind == "effect-late":
			times[0] = d.lasts
		case d.kind == "effect-twice":
			times = append(times, d.lasts)
		}
	}
	return times
}

func draw(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// drawPlan draws a play: something that begins a replacement, and others that meet it.
func drawPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 7))
	p := plan{seed: seed, members: 3, vms: 2 + r.IntN(3), entryTerms: r.IntN(3) > 0, promoteTime: draw(r, 250*time.Millisecond, 900*time.Millisecond)}
	for i := range 2 + r.IntN(6) {
		d := disruption{number: i, vm: r.IntN(p.vms), member: r.IntN(3)}
		kinds := anyKinds
		if i == 0 || r.IntN(4) == 0 {
			kinds, d.member = primaryKinds, primary
		}
		d.kind = kinds[r.IntN(len(kinds))]
		if d.kind == "drain" && slices.ContainsFunc(p.list, func(o disruption) bool { return o.kind == "drain" }) {
			d.kind = "dark"
		}
		d.lasts = draw(r, 50*time.Millisecond, 5*time.Second)
		if r.IntN(3) == 0 {
			d.lasts = draw(r, 20*time.Millisecond, 800*time.Millisecond)
		}
		d.at, d.after = atTime, draw(r, 200*time.Millisecond, disruptedFor/2)
		if i > 0 && r.IntN(3) > 0 {
			steps := []step{atPause, atStepDown, atResume, atOrder, atRecord}
			d.at, d.nth, d.after = steps[r.IntN(len(steps))], 1+r.IntN(5), draw(r, 0, 20*time.Millisecond)
			if r.IntN(2) == 0 {
				d.after = draw(r, 0, 800*time.Millisecond)
			}
			if r.IntN(2) == 0 {
				d.vm = -1
			}
		}
		p.list = append(p.list, d)
	}
	if *exploreOrder {
		p.list = append(p.list, drawOutage(seed, p.list[0]))
	}
	return p
}

// drawOutage draws an outage of the platform's promotions, soon after another disruption.
// Its numbers don't change the rest of the plan.
func drawOutage(seed uint64, first disruption) disruption {
	r := rand.New(rand.NewPCG(seed, 8))
	kinds := []string{"platform-down", "platform-late"}
	return disruption{
		number: 20, at: atTime, after: first.after + draw(r, 0, 1500*time.Millisecond), kind: kinds[r.IntN(len(kinds))],
		lasts: draw(r, 300*time.Millisecond, 2500*time.Millisecond),
	}
}

var (
	primaryKinds = []string{"dark", "down", "drain", "cut-off", "hidden"}
	anyKinds     = []string{
		"dark", "down", "reborn", "deaf", "kill", "kill", "freeze", "freeze", "freeze", "cut", "hidden", "record-cut", "record-lost",
		"order-lost", "order-late", "commands-late", "commands-late", "expire", "resign", "join", "all-killed",
	}
)

func skipped(kind string) bool { return slices.Contains(strings.Split(*exploreSkip, ","), kind) }

// keep returns the disruptions that -explore.only names and -explore.skip doesn't.
func keep(list []disruption) []disruption {
	list = slices.DeleteFunc(list, func(d disruption) bool { return skipped(d.kind) })
	if *exploreOnly == "" {
		return list
	}
	names := strings.Split(*exploreOnly, ",")
	return slices.DeleteFunc(slices.Clone(list), func(d disruption) bool { return !slices.Contains(names, fmt.Sprint(d.number)) })
}
