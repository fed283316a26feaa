package locality_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/decide/locality"
)

const (
	tick = 250 * time.Millisecond
	way  = 8 * time.Millisecond
)

// after returns the state after a time of constant costs.
func after(s locality.State, c locality.Costs, length time.Duration) locality.State {
	for range length / tick {
		s = s.Next(c, tick)
	}
	return s
}

func TestWorkStaysWhileTheWayCostsMore(t *testing.T) {
	is := is.New(t)
	for _, c := range []locality.Costs{
		{Own: 0, Other: way},
		{Own: way, Other: way},
		{Own: way + 2*time.Millisecond, Other: way},                  // less than minGain
		{Own: 200 * time.Millisecond, Other: 190 * time.Millisecond}, // waits are about the same everywhere
	} {
		is.Equal(after(locality.State{}, c, time.Minute).Share, 0.0)
	}
}

// A wait that passes within half a second isn't worth leaving for.
func TestAShortWaitLetsNoWorkLeave(t *testing.T) {
	is := is.New(t)
	s := after(locality.State{}, locality.Costs{Own: 100 * time.Millisecond, Other: way}, 250*time.Millisecond)
	is.Equal(s.Share, 0.0)
	is.True(after(s, locality.Costs{Own: 100 * time.Millisecond, Other: way}, 5*time.Second).Share > 0.5)
}

// Work that left and gained nothing comes back, and doesn't leave again at once.
func TestWorkThatGainsNothingStaysForAWhile(t *testing.T) {
	is := is.New(t)
	gain, loss := locality.Costs{Own: 100 * time.Millisecond, Other: way}, locality.Costs{Own: 100 * time.Millisecond, Other: 120 * time.Millisecond}
	s := after(locality.State{}, gain, time.Second)
	is.True(s.Share > 0)
	back := 0 * time.Second
	for ; s.Share > 0; back += tick {
		s = s.Next(loss, tick)
	}
	is.True(back <= 5*time.Second)
	is.Equal(after(s, gain, 4*time.Second).Share, 0.0)
	is.True(after(s, gain, 10*time.Second).Share > 0)
}

// A larger share includes the callers of a smaller one.
func TestCallersThatLeftStayAway(t *testing.T) {
	is := is.New(t)
	small, large := locality.State{Share: 0.2}, locality.State{Share: 0.6}
	left := 0
	for i := range uint64(1000) {
		caller := i * 0x9e3779b97f4a7c15
		is.True(!small.Leaves(caller) || large.Leaves(caller))
		if large.Leaves(caller) {
			left++
		}
	}
	is.True(left > 500 && left < 700)
}

// site is a data centre in a simulation: the work that waits at its hosts, in slot time,
// follows from the work that comes in, of its own and of others.
type site struct {
	demand, capacity float64 // slots
	backlog          time.Duration
	state            locality.State
	shares           []float64
}

// simulate runs data centres that each decide by the other's wait for two minutes. The
// waits that they see are one tick old, and overload is refused beyond a second.
func simulate(sites ...*site) {
	for range 2 * time.Minute / tick {
		seen := []time.Duration{sites[0].wait(), sites[1].wait()}
		for i, s := range sites {
			other := sites[1-i]
			in := s.demand*(1-s.state.Share) + other.demand*other.state.Share
			s.backlog += time.Duration((in - s.capacity) * float64(tick))
			s.backlog = max(0, min(s.backlog, time.Duration(s.capacity*float64(time.Second))))
		}
		for i, s := range sites {
			s.state = s.state.Next(locality.Costs{Own: seen[i], Other: seen[1-i] + way}, tick)
			s.shares = append(s.shares, s.state.Share)
		}
	}
}

func (s *site) wait() time.Duration { return time.Duration(float64(s.backlog) / s.capacity) }

// spread returns the least and the greatest share of the last minute.
func (s *site) spread() (least, most float64) {
	least, most = 1, 0
	for _, share := range s.shares[len(s.shares)/2:] {
		least, most = min(least, share), max(most, share)
	}
	return least, most
}

// One data centre has too few hosts: so much leaves that its work no longer waits long, and
// no more, and the share settles.
func TestOneFullDataCentreSendsTheExcess(t *testing.T) {
	is := is.New(t)
	full, idle := &site{demand: 5, capacity: 4}, &site{demand: 1, capacity: 4}
	simulate(full, idle)
	least, most := full.spread()
	t.Logf("share %.2f to %.2f, waits %v and %v", least, most, full.wait(), idle.wait())
	is.True(least >= 0.15 && most <= 0.4)
	is.True(most-least <= 0.15)
	_, back := idle.spread()
	is.Equal(back, 0.0)
	is.True(full.wait() < 50*time.Millisecond)
}

// Two data centres that are both overloaded have nothing to gain from each other.
func TestTwoFullDataCentresDoNotSwing(t *testing.T) {
	is := is.New(t)
	a, b := &site{demand: 5, capacity: 4}, &site{demand: 4.8, capacity: 4}
	simulate(a, b)
	for _, s := range []*site{a, b} {
		_, most := s.spread()
		is.True(most <= 0.2)
	}
}
