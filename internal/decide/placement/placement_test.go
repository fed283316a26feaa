package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/placement"
)

var now = time.Unix(1_700_000_000, 0)

// hosts returns n hosts of a standing.
func hosts(n int, s placement.Standing) []placement.Host {
	var list []placement.Host
	for i := range n {
		list = append(list, placement.Host{VM: chervilladder.VMID(fmt.Sprint("vm-", i)), Standing: s})
	}
	return list
}

// choose returns the index of the host that is chosen for a caller, or -1.
func choose(caller uint64, list []placement.Host) int {
	c := placement.Choice{Caller: caller}
	for _, h := range list {
		c.Offer(h)
	}
	best, found := c.Best()
	if !found {
		return -1
	}
	return slices.Index(list, best)
}

// shares returns how many of 2,000 callers choose each host, and each caller's host.
func shares(list []placement.Host) (counts []int, chosen []int) {
	counts = make([]int, len(list))
	for caller := range 2000 {
		i := choose(xxhash.Sum64String(fmt.Sprint("caller ", caller)), list)
		counts[i]++
		chosen = append(chosen, i)
	}
	return counts, chosen
}

func TestCallersAreSpreadOverTheBestHosts(t *testing.T) {
	is := is.New(t)
	list := append(hosts(4, placement.Preferred), placement.Host{VM: "spare", Standing: placement.Spare})
	counts, _ := shares(list)
	for _, n := range counts[:4] {
		is.True(n > 400 && n < 600)
	}
	is.Equal(counts[4], 0)
}

// What is known against a host must order the hosts, and be forgotten in time.
func TestEvidenceAgainstAHost(t *testing.T) {
	for name, c := range map[string]struct {
		record func(t *blackboard.ForwardTarget, s *blackboard.HostState)
		want   placement.Standing
		after  time.Duration
		later  placement.Standing
	}{
		"nothing":      {func(*blackboard.ForwardTarget, *blackboard.HostState) {}, placement.Preferred, 0, placement.Preferred},
		"failed":       {func(t *blackboard.ForwardTarget, _ *blackboard.HostState) { t.Failed(now) }, placement.Unresponsive, 4 * time.Second, placement.Preferred},
		"disconnected": {func(t *blackboard.ForwardTarget, _ *blackboard.HostState) { t.Disconnected.Store(true) }, placement.Disconnected, time.Hour, placement.Disconnected},
		"draining":     {func(t *blackboard.ForwardTarget, _ *blackboard.HostState) { t.DrainingAt.Raise(now) }, placement.Draining, 4 * time.Second, placement.Preferred},
		"no primary":   {func(_ *blackboard.ForwardTarget, s *blackboard.HostState) { s.ReportPrimary(false, now) }, placement.NoPrimary, 2 * time.Second, placement.Preferred},
		"silent": {func(_ *blackboard.ForwardTarget, s *blackboard.HostState) {
			s.Sent(now.Add(-time.Second/2), placement.SilentUntil)
		}, placement.Silent, 2 * time.Second, placement.Preferred},
		"answered again": {func(t *blackboard.ForwardTarget, _ *blackboard.HostState) {
			t.Failed(now.Add(-time.Second))
			t.Answered(now)
		}, placement.Preferred, 0, placement.Preferred},
		"reached again": {func(_ *blackboard.ForwardTarget, s *blackboard.HostState) {
			s.ReportPrimary(false, now.Add(-time.Second/2))
			s.ReportPrimary(true, now)
		}, placement.Preferred, 0, placement.Preferred},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var target blackboard.ForwardTarget
			var state blackboard.HostState
			c.record(&target, &state)
			got, _ := placement.Assess(placement.Preferred, &target, &state, chervilladder.PriorityUrgent, chervilladder.AccessWrite, now)
			is.Equal(got, c.want)
			got, _ = placement.Assess(placement.Preferred, &target, &state, chervilladder.PriorityUrgent, chervilladder.AccessWrite, now.Add(c.after))
			is.Equal(got, c.later)
		})
	}
}

// A host of a worse standing is chosen only if it is the only one.
func TestBetterStandingsGoFirst(t *testing.T) {
	is := is.New(t)
	list := append([]placement.Host{{VM: "other", Standing: placement.Unresponsive}}, hosts(1, placement.Preferred)...)
	is.Equal(choose(1, list), 1)
	is.Equal(choose(1, list[:1]), 0)
	is.Equal(choose(1, nil), -1)
}

// A slow host gets little work, but some, and when its cost changes only the callers move
// that its new share requires: those of other hosts stay.
func TestASlowHostLosesCallersToTheOthers(t *testing.T) {
	is := is.New(t)
	list := hosts(4, placement.Preferred)
	before, chosenBefore := shares(list)
	list[2].Cost = 60 * time.Millisecond
	after, chosenAfter := shares(list)
	is.True(after[2] > 0 && after[2] < before[2]/3)
	for i, host := range chosenBefore {
		is.True(host == 2 || chosenAfter[i] == host)
	}
	list[2].Cost = time.Minute
	last, _ := shares(list)
	is.True(last[2] > 0)
}

// VMs that choose by each other's load must not all move to the same host at once and back:
// the shares of two hosts, whose wait follows from the share that they had a moment ago,
// must settle.
func TestSharesSettleWhenWaitsFollowThem(t *testing.T) {
	is := is.New(t)
	list := hosts(2, placement.Preferred)
	speed := []float64{1, 0.6}
	var history []float64
	for range 40 {
		counts, _ := shares(list)
		total := float64(counts[0] + counts[1])
		history = append(history, float64(counts[1])/total)
		for i := range list {
			load := float64(counts[i]) / total * 1.5 / speed[i] // of a host's capacity
			wait := max(0, load-0.7) * float64(200*time.Millisecond)
			list[i].Cost += time.Duration((wait - float64(list[i].Cost)) / 4) // the mean of reports
		}
	}
	last := history[len(history)-10:]
	least, most := last[0], last[0]
	for _, s := range last {
		least, most = min(least, s), max(most, s)
	}
	is.True(most-least < 0.1)
	is.True(most < 0.5 && least > 0.2)
}
