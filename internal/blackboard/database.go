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
	// Group holds the state of the database's members. Written by
	// control/group.
	Group Section[Group]
	// Positions is the history of the primary's position, from which the age
	// of a replica's data is bounded. Written by control/group.
	Positions Section[freshness.History]
	// Polls numbers the polls of the members. The path of a request asks
	// for one; control/group polls and publishes the statuses in Group.
	Polls Polls
	// MinimumPositions holds each session's minimum position: what the session
	// has observed. Written by the path of a request, reset by control/group
	// when a claim is taken.
	MinimumPositions MinimumPositions
	// Queue holds the work that waits for a slot. Work is written by the
	// path of a request, capacities by control/group.
	Queue schedule.Queue
	// Retries limits how often work is retried. Written by the path of a
	// request.
	Retries retry.Budget
	// InFlight counts the work that runs or waits. Written by the path of a
	// request.
	InFlight InFlight
}

// Await waits until the group satisfies a condition and returns that group. It
// returns the cause as an error if the context ends first.
func (d *Database) Await(ctx context.Context, satisfies func(Group) bool) (Group, error) {
	for {
		g, changed := d.Group.Watch()
		if satisfies(g) {
			return g, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return g, context.Cause(ctx)
		}
	}
}

// Group is the owner's view of the members of a database: the primary, its term,
// the owner's claim, and each member's last status. For a service without an owner,
// ClusterView takes its place.
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

// MemberView is the last status observation of one member.
type MemberView struct {
	Status chervilladder.MemberStatus
	// Poll is the number of the poll that requested the status.
	Poll PollNumber
	// RequestedAt is when the status was requested.
	RequestedAt time.Time
	// FailingSince is when the member first failed to answer after its last
	// answer; zero while it answers.
	FailingSince time.Time
	// Err is the error of the last request; nil while the member answers.
	Err error
	// NoContactSince is since when a replica has reported that it never had
	// contact with its primary, or a primary that it never had contact with a
	// replica; zero if the member has had contact.
	NoContactSince time.Time
}

// ContactAge returns how long ago the member last had contact with its group: a
// replica with its primary, a primary with a replica. For a member that never
// had contact it is the time since its first such report.
func (v MemberView) ContactAge(now time.Time) time.Duration {
	if v.NoContactSince.IsZero() {
		return v.Status.SinceContact
	}
	return now.Sub(v.NoContactSince)
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

// Open reports whether work may be sent: the primary is known and this VM holds
// a claim there.
func (g Group) Open() bool {
	return g.Primary != "" && g.Claim != 0
}

// Mark returns the primary's latest known position.
func (g Group) Mark() chervilladder.Mark {
	return chervilladder.Mark{Term: g.Term, Position: g.Members[g.Primary].Status.Received}
}
