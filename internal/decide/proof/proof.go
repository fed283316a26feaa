// Package proof decides what the statuses of a group's members prove about the
// term and the claim under which work was run.
package proof

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Verdict is what statuses prove about an event.
type Verdict uint8

const (
	// Pending means that more statuses are needed.
	Pending Verdict = iota
	// Holds means that at some time after the event the term was still the
	// newest and the claim was still held.
	Holds
	// Broken means that the term was superseded or the claim lost.
	Broken
)

// Current judges whether the term and claim under which an event happened
// were still in force after it. Statuses of the given poll or later were
// requested after the event.
//
// A promotion needs a majority of the group to accept its term before the new
// primary takes writes. A majority that is still in the old term after the
// event therefore proves that no new primary took writes before the event.
func Current(g blackboard.Group, term chervilladder.Term, claim chervilladder.Claim, poll blackboard.PollNumber) Verdict {
	if g.Term != term || g.Claim != claim || claim == 0 {
		return Broken
	}
	if g.Members[g.Primary].Status.Claim > claim {
		return Broken
	}
	return Newest(g, term, poll)
}

// Newest judges whether the term under which an event happened was still in
// force after it. That is enough for a write, which needs no proof of the claim:
// the primary closes the connections that are bound to lower claims, so the write
// was done before another VM took a claim. The minimum position that the other VM
// then sets for all sessions covers it.
func Newest(g blackboard.Group, term chervilladder.Term, poll blackboard.PollNumber) Verdict {
	if g.Term != term {
		return Broken
	}
	agreeing := 0
	primaryAgrees := false
	for id, v := range g.Members {
		if v.Status.Term > term {
			return Broken
		}
		if v.Poll < poll || v.Status.Term != term {
			continue
		}
		agreeing++
		if id == g.Primary && v.Status.Role == chervilladder.RolePrimary {
			primaryAgrees = true
		}
	}
	if primaryAgrees && agreeing >= Majority(g.Size) {
		return Holds
	}
	return Pending
}

// CoveredUntil returns a time up to which acknowledged writes are covered: the
// primary's status covers every write that was acknowledged before it. The primary's
// status was requested at that time or later, and so were the statuses of a majority
// that was still in the term.
func CoveredUntil(g blackboard.Group) (time.Time, bool) {
	p := g.Members[g.Primary]
	if p.Status.Role != chervilladder.RolePrimary || p.Status.Term != g.Term {
		return time.Time{}, false
	}
	var requestedAt []time.Time
	for _, v := range g.Members {
		if v.Status.Term == g.Term {
			requestedAt = append(requestedAt, v.RequestedAt)
		}
	}
	if len(requestedAt) < Majority(g.Size) {
		return time.Time{}, false
	}
	slices.SortFunc(requestedAt, func(a, b time.Time) int { return b.Compare(a) })
	until := requestedAt[Majority(g.Size)-1]
	if p.RequestedAt.Before(until) {
		until = p.RequestedAt
	}
	return until, true
}

// Confirmed reports whether a majority, counting the primary, has received a
// position of the group's term, so that no promotion can lose it.
func Confirmed(g blackboard.Group, p chervilladder.Position) bool {
	if g.Size == 1 {
		return true
	}
	holders := 1
	for id, v := range g.Members {
		if id == g.Primary || v.Status.LogTerm != g.Term {
			continue
		}
		if v.Status.Received >= p {
			holders++
		}
	}
	return holders >= Majority(g.Size)
}

// Majority returns how many members of a group make a majority.
func Majority(size int) int {
	return size/2 + 1
}
