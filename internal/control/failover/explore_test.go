package failover_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

var (
	exploreSeeds = flag.Int("explore.seeds", 10, "how many plays of the explorer to run")
	exploreFirst = flag.Uint64("explore.first", 1, "the seed of the first play")
	exploreOrder = flag.Bool("explore.orders", false, "have the platform carry out no orders, or carry them out late, while the first replacement goes on")
	exploreSkip  = flag.String("explore.skip", "", "kinds of disruptions to leave out, with commas")
	exploreTries = flag.Int("explore.tries", 1, "how often to run each play; the order of goroutines is not fixed by the seed")
	exploreOnly  = flag.String("explore.only", "", "the numbers of the disruptions to keep, with commas; empty keeps all")
)

// The targets that each play is held to.
const (
	// servedWithin is how long after the last disruption a write must be acknowledged.
	servedWithin = 20 * time.Second
	// disruptedFor is the time in which disruptions begin.
	disruptedFor = 14 * time.Second
)

// play is a play while it runs.
type play struct {
	t *testing.T
	p plan
	w *clustertest.World

	mu         sync.Mutex
	began      time.Time
	steps      map[step]int
	registered []chervilladder.Registered
	expired    map[chervilladder.UpstreamID]bool
	// gone are the members that have ended and whose entries may still be there.
	gone map[chervilladder.UpstreamID]bool
	// drainUntil is when the member that drains ends.
	drainUntil time.Time
	// learnt counts the changes of the registered members.
	learnt int
	late   map[int]time.Duration
	acked  map[chervilladder.CommandID]report
	// ordered is when each member's promotion was ordered last, and orderedLast the member of
	// the last order.
	ordered     map[chervilladder.UpstreamID]time.Time
	orderedLast chervilladder.UpstreamID
	// accepted counts the orders that the platform has accepted.
	accepted int
	events   []string
	over     bool
	running  sync.WaitGroup
}

// report says which VM reported a commit as done, and when.
type report struct {
	vm int
	at time.Time
}

func (y *play) note(format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.events = append(y.events, fmt.Sprintf("%8.3f ", time.Since(y.began).Seconds())+fmt.Sprintf(format, args...))
}

// reached begins the disruptions that are tied to a step.
func (y *play) reached(s step, vm int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.steps[s]++
	for _, d := range y.p.list {
		if d.at == s && d.nth == y.steps[s] {
			y.begin(d, vm)
		}
	}
}

func (y *play) begin(d disruption, vm int) {
	if y.over {
		return
	}
	if d.vm < 0 {
		d.vm = vm
	}
	y.running.Go(func() {
		time.Sleep(d.after)
		y.disrupt(d)
	})
}

// hook has a VM's steps reported. It is called again for a VM that starts anew.
func (y *play) hook(i int) {
	vm := y.w.VM(i)
	vm.Linker.OnStatus(func(id chervilladder.UpstreamID, c chervilladder.Command) {
		if c.Kind == chervilladder.CommandStatus {
			return
		}
		y.note("vm-%d sends %d with term %d to %s", i, c.Kind, c.Term, id)
		switch c.Kind {
		case chervilladder.CommandPause:
			y.reached(atPause, i)
		case chervilladder.CommandStepDown:
			y.reached(atStepDown, i)
		case chervilladder.CommandResume:
			y.reached(atResume, i)
		}
		y.mu.Lock()
		late := y.late[i]
		y.mu.Unlock()
		time.Sleep(late)
	})
	vm.Promoter.OnOrder(func(id chervilladder.UpstreamID) {
		y.note("vm-%d orders the promotion of %s", i, id)
		y.mu.Lock()
		y.ordered[id], y.orderedLast = time.Now(), id
		y.mu.Unlock()
		y.reached(atOrder, i)
	})
	vm.Record.OnWrite(func(l chervilladder.Leadership) {
		y.note("vm-%d wrote the record: %s epoch %d term %d", i, l.Holder, l.Epoch, l.Term)
		y.reached(atRecord, i)
	})
}

// write writes as one caller until the play is over.
func (y *play) write(caller int) {
	for i := 0; !y.ended(); i++ {
		id := chervilladder.CommandID(fmt.Sprintf("w%d-%d", caller, i))
		vm := (caller + i/50) % y.p.vms
		s, err := y.w.VM(vm).Sessions.Open(clustertest.PrimaryDB, "caller")
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			if r := s.Do(ctx, chervilladder.Command{Kind: chervilladder.CommandWrite, ID: id, Rest: "1a4 x"}); r.Code == chervilladder.CodeNone {
				y.mu.Lock()
				y.acked[id] = report{vm: vm, at: time.Now()}
				y.mu.Unlock()
			}
			cancel()
			s.Close()
		}
		time.Sleep(time.Duration(3+(caller*5+i*7)%20) * time.Millisecond)
	}
}

func (y *play) ended() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.over
}

func (y *play) count() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.acked)
}

// run runs the play and returns what it broke.
func (y *play) run() []string {
	y.began = time.Now()
	for i := range y.p.vms {
		y.hook(i)
	}
	var writers sync.WaitGroup
	for i := range 4 {
		writers.Go(func() { y.write(i) })
	}
	for _, d := range y.p.list {
		if d.at == atTime {
			y.mu.Lock()
			y.begin(d, 0)
			y.mu.Unlock()
		}
	}
	time.Sleep(disruptedFor)
	y.mu.Lock()
	y.p.list = nil // none begins any more
	y.mu.Unlock()
	y.running.Wait()
	served, before := false, y.count()
	for began := time.Now(); !served && time.Since(began) < servedWithin; served = y.count() > before {
		time.Sleep(100 * time.Millisecond)
	}
	y.mu.Lock()
	y.over = true
	y.mu.Unlock()
	writers.Wait()
	return y.violations(served)
}

func (y *play) violations(served bool) []string {
	var list []string
	if !served {
		list = append(list, fmt.Sprintf("no write was acknowledged within %v of the last disruption", servedWithin))
	}
	told := func(id chervilladder.CommandID) bool { return !y.acked[id].at.IsZero() }
	for _, e := range y.w.Cluster.Effects() {
		lost := toldOf(e.Lost, told)
		if n := len(lost); n > 0 && len(e.HeldBy) > 0 {
			list = append(list, fmt.Sprintf("LOST: %8.3f %s leads term %d without %d acknowledged commits, %v to %v, which %v hold; the last one: %s",
				y.seconds(e.At), e.Upstream, e.Term, n, lost[0].Mark, lost[n-1].Mark, e.HeldBy, y.describe(lost[n-1])))
			break // a later promotion can't bring them back
		}
	}
	if strays := toldEntries(y.w.Cluster.Strays(), told); len(strays) > 0 {
		list = append(list, fmt.Sprintf("ONE: %d commits of an outdated primary were acknowledged, first %v", len(strays), strays[0].Mark))
	}
	return list
}

// stoodStill returns the longest time without an acknowledged write.
func (y *play) stoodStill() time.Duration {
	at := []time.Time{y.began, time.Now()}
	for _, r := range y.acked {
		at = append(at, r.at)
	}
	slices.SortFunc(at, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(at); i++ {
		longest = max(longest, at[i].Sub(at[i-1]))
	}
	return longest
}

// seconds returns when something happened in the play.
func (y *play) seconds(at time.Time) float64 { return at.Sub(y.began).Seconds() }

// describe returns who confirmed and who reported a commit.
func (y *play) describe(a cluster.Ack) string {
	text := fmt.Sprintf("acknowledged by %s at %.3f, confirmed by %v", a.Primary, y.seconds(a.At), a.ConfirmedBy)
	for _, c := range a.Commands {
		if by, reported := y.acked[c.ID]; reported {
			text += fmt.Sprintf(", reported by vm-%d at %.3f", by.vm, y.seconds(by.at))
		}
	}
	return text
}

// promoteTimes returns when the next order that the platform accepts takes effect.
func (y *play) promoteTimes(id chervilladder.UpstreamID) []time.Duration {
	y.mu.Lock()
	y.accepted++
	times := y.p.promoteTimes(y.accepted)
	y.mu.Unlock()
	y.note("the platform accepts an order for %s, with effect after %v", id, times)
	return times
}

// outcome is what a play broke, what happened in it, and how long writes stood still.
type outcome struct {
	broken, events []string
	stoodStill     time.Duration
}

// explore runs one play.
func explore(t *testing.T, p plan) (o outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := clustertest.New(t, clustertest.Config{VMs: p.vms, Members: p.members, Adjust: func(c *cluster.Config) {
			c.WorkTime, c.EntryTerms, c.PromoteTime, c.StepsDownAfter = 3*time.Millisecond, p.entryTerms, p.promoteTime, time.Second
		}})
		y := &play{
			t: t, p: p, w: w, steps: make(map[step]int), expired: make(map[chervilladder.UpstreamID]bool), gone: make(map[chervilladder.UpstreamID]bool), late: make(map[int]time.Duration),
			acked: make(map[chervilladder.CommandID]report), ordered: make(map[chervilladder.UpstreamID]time.Time),
		}
		for i := range p.members {
			y.registered = append(y.registered, clustertest.Member(i))
		}
		w.Cluster.SetPromoteTimes(y.promoteTimes)
		o.broken = y.run()
		for _, e := range w.Cluster.Effects() {
			y.events = append(y.events, fmt.Sprintf("%8.3f effect: %s leads term %d", y.seconds(e.At), e.Upstream, e.Term))
		}
		o.events, o.stoodStill = y.events, y.stoodStill()
		for _, m := range y.registered { // closes the connections that killed VMs have left
			w.Cluster.Set(m.ID, func(f *cluster.Faults) { *f = cluster.Faults{Down: true} })
		}
	})
	return o
}

// Plays with disruptions that meet the steps of replacements. No promotion may lose an
// acknowledged commit, and work is served again afterwards.
func TestExploreReplacements(t *testing.T) { exploreAll(t, drawPlan) }

// exploreAll runs the plays that the flags ask for.
func exploreAll(t *testing.T, draw func(seed uint64) plan) {
	var still []time.Duration
	for seed := *exploreFirst; seed < *exploreFirst+uint64(*exploreSeeds); seed++ {
		p := draw(seed)
		p.list = keep(p.list)
		var o outcome
		for range *exploreTries {
			o = explore(t, p)
			still = append(still, o.stoodStill)
			if len(o.broken) > 0 {
				break
			}
		}
		if len(o.broken) > 0 {
			t.Errorf("seed %d: %s\n%s\n%s", seed, strings.Join(o.broken, "; "), p, strings.Join(o.events, "\n"))
		}
	}
	slices.Sort(still)
	n := len(still)
	t.Logf("%d plays; writes stood still for %v in the median, %v in one of ten, %v at most", n, still[n/2], still[n-1-n/10], still[n-1])
}
