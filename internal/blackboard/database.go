package blackboard

import (
	"context"
	"maps"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/freshness"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// Database is the state of one database at the VM that owns it.
type Database struct {
	// Group is what is known of the database's members. Written by
	// control/group.
	Group Section[Group]
	// Positions is the history of the primary's position, by which the age
	// of a replica's data is judged. Written by control/group.
	Positions Section[freshness.History]
	// Evidence counts the requests for fresh statuses. The path of a
	// request asks, control/group answers through Group.
	Evidence Evidence
	// Floors holds what sessions have observed. Written by the path of a
	// request, reset by control/group when a claim is taken.
	Floors Floors
	// Queue holds the work that waits for a slot. Work is written by the
	// path of a request, capacities by control/group.
	Queue schedule.Queue
	// Retries bounds how often work is sent again. Written by the path of
	// a request.
	Retries retry.Budget
	// InFlight counts the work. Written by the path of a request.
	InFlight InFlight
}

// Await waits until the group satisfies a condition, and returns the group
// that did.
func (d *Database) Await(ctx context.Context, holds func(Group) bool) (Group, error) {
	for {
		g, changed := d.Group.Watch()
		if holds(g) {
			return g, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return g, context.Cause(ctx)
		}
	}
}

// Group is what an owner knows of a database's group.
type Group struct {
	// Primary is the member that writes go to; empty while there is none.
	Primary chervilladder.UpstreamID
	// Term is the term in which Primary was found or promoted.
	Term chervilladder.Term
	// Claim is the claim held at Primary; zero while there is none.
	Claim chervilladder.Claim
	// Members holds the last status of each member.
	Members map[chervilladder.UpstreamID]MemberView
	// Size is the number of members of the group.
	Size int
}

// MemberView is the last evidence of one member.
type MemberView struct {
	Status chervilladder.MemberStatus
	// Tick is the evidence tick at which the status was asked for.
	Tick Tick
	// Asked is when the status was asked for.
	Asked time.Time
	// Failing is when the member first failed to answer since it last
	// answered; zero while it answers.
	Failing time.Time
	// Err says how it fails.
	Err error
	// Unheard is since when the member has said that it never heard from
	// its primary, or a primary from any replica; zero if it has.
	Unheard time.Time
}

// ContactAge returns for how long the member has not heard from its group.
func (v MemberView) ContactAge(now time.Time) time.Duration {
	if v.Unheard.IsZero() {
		return v.Status.Contact
	}
	return now.Sub(v.Unheard)
}

// With returns a copy of the group in which one member's view is replaced.
func (g Group) With(id chervilladder.UpstreamID, v MemberView) Group {
	members := make(map[chervilladder.UpstreamID]MemberView, len(g.Members)+1)
	maps.Copy(members, g.Members)
	members[id] = v
	g.Members = members
	return g
}

// Without returns a copy of the group without the view of one member.
func (g Group) Without(id chervilladder.UpstreamID) Group {
	members := maps.Clone(g.Members)
	delete(members, id)
	g.Members = members
	return g
}

// Open reports whether work may be sent: a primary is known and claimed.
func (g Group) Open() bool {
	return g.Primary != "" && g.Claim != 0
}

// Mark returns the latest position known of the primary.
func (g Group) Mark() chervilladder.Mark {
	return chervilladder.Mark{Term: g.Term, Position: g.Members[g.Primary].Status.Received}
}
