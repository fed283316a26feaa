// Package placement decides to which VM work is forwarded, from what this VM knows of
// each host of the service. Hosts differ: some don't reach the primary, some don't answer
// or shut down, some are slow.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// For how long each kind of evidence against a host is valid. Probes and the answers to
// forwarded work renew it several times within that.
const (
	// UnresponsiveFor is how long a VM is tried last after it failed to answer.
	UnresponsiveFor = 3 * time.Second
	drainingFor     = 3 * time.Second
	noPrimaryFor    = time.Second
	waitFor         = 500 * time.Millisecond
	// SilentUntil is how long after the first unserved work a host stops being Silent,
	// which it is from silentAfter on. By then the host itself has found out whether it
	// reaches the primary, and reports it.
	SilentUntil = 1500 * time.Millisecond
	silentAfter = 200 * time.Millisecond
)

// Standing is how well a host is suited; a lower one is better.
type Standing uint8

// The standings of hosts.
const (
	// Preferred hosts are those over which callers are spread.
	Preferred Standing = iota
	// Fallback hosts are further ones that hold connections to the upstreams.
	Fallback
	// Silent hosts have lately served none of the work that was sent to them.
	Silent
	// Spare hosts connect to the upstreams only when they are asked.
	Spare
	// Disconnected hosts can't be connected to.
	Disconnected
	// NoPrimary hosts have reported that they don't reach the primary.
	NoPrimary
	// Draining hosts have refused work because they shut down.
	Draining
	// Unresponsive hosts have failed to answer.
	Unresponsive
)

// String returns the name that explanations for operators use.
func (s Standing) String() string {
	switch s {
	case Preferred:
		return "preferred"
	case Fallback:
		return "fallback"
	case Silent:
		return "silent"
	case Spare:
		return "spare"
	case Disconnected:
		return "disconnected"
	case NoPrimary:
		return "no-primary"
	case Draining:
		return "draining"
	default:
		return "unresponsive"
	}
}

// Usable reports whether nothing is known that keeps the host from running work.
func (s Standing) Usable() bool { return s <= Spare }

// Host is a VM that may run the work.
type Host struct {
	VM       chervilladder.VMID
	Standing Standing
	// Cost is how much time the work is expected to take there beyond its run: on the
	// network and waiting for a slot.
	Cost time.Duration
}

// Assess returns a host's standing, which is at least base, and its cost for work of a
// priority and an access. Either state may be nil: nothing is known then.
func Assess(base Standing, t *blackboard.ForwardTarget, s *blackboard.HostState, p chervilladder.Priority, a chervilladder.Access, now time.Time) (Standing, time.Duration) {
	var cost time.Duration
	if s != nil {
		if wait, age := s.Wait(p, a).Load(now); age < waitFor {
			cost = wait
		}
	}
	if t != nil {
		cost += t.Overhead.Load()
	}
	return assess(base, t, s, now), cost
}

func assess(base Standing, t *blackboard.ForwardTarget, s *blackboard.HostState, now time.Time) Standing {
	if t != nil {
		switch {
		case t.Failing() && now.Sub(t.FailedAt.Load()) < UnresponsiveFor:
			return Unresponsive
		case now.Sub(t.DrainingAt.Load()) < drainingFor:
			return Draining
		}
	}
	if s != nil && s.NoPrimary() && now.Sub(s.NoPrimaryAt.Load()) < noPrimaryFor {
		return NoPrimary
	}
	if t != nil && t.Disconnected.Load() {
		return Disconnected
	}
	if s != nil && base < Silent {
		if silent := s.SilentFor(now); silent > silentAfter && silent < SilentUntil {
			return Silent
		}
	}
	return base
}

// Choice chooses the host to forward a caller's work to, out of those passed to Offer.
// Among hosts of the best standing the callers are spread by weighted rendezvous hashing: a
// host's share falls with its cost, and when costs change, no more callers move than the
// shares require. So VMs that see the same costs don't all move their work to the same host.
type Choice struct {
	// Caller is a hash of the caller.
	Caller uint64

	best  Host
	score float64
	found bool
}

// Offer offers a host.
func (c *Choice) Offer(h Host) {
	if c.found && h.Standing > c.best.Standing {
		return
	}
	s := score(c.Caller, &h)
	if !c.found || h.Standing < c.best.Standing || s < c.score {
		c.best, c.score, c.found = h, s, true
	}
}

// Best returns the chosen host, if there is one.
func (c *Choice) Best() (Host, bool) { return c.best, c.found }

const (
	// alikeBelow is the cost below which hosts have the same weight.
	alikeBelow = 10 * time.Millisecond
	// minWeight is the least weight of a host, relative to one without cost. Even a
	// very slow host gets some work, which shows when it is no longer slow.
	minWeight = 1.0 / 16
)

// score returns a caller's score of a host; the lowest wins. It is exponentially
// distributed over the callers, with the host's weight as its rate.
func score(caller uint64, h *Host) float64 {
	weight := max(minWeight, float64(alikeBelow)/float64(max(h.Cost, alikeBelow)))
	uniform := (float64(mix(caller^xxhash.Sum64String(string(h.VM)))>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / weight
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
