// Package state holds the blackboard that the parts of one upstream stand-in
// share: its role in the group, its settings and the faults in force.
package state

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// MemberState is a member's role, term, primary and claim in its group.
type MemberState struct {
	Role chervilladder.Role
	// Term is the newest term that the member has accepted.
	Term    chervilladder.Term
	Attempt chervilladder.AttemptID
	// Primary is the primary of the term, if the member knows it.
	Primary chervilladder.UpstreamID
	// Start is the last position of the log when the member was promoted.
	Start  chervilladder.Position
	Claim  chervilladder.Claim
	Holder chervilladder.VMID
}

// Settings are the limits and delays of a member.
type Settings struct {
	Slots         int
	StatementTime time.Duration
	ReplayLag     time.Duration
	ReceiveLag    time.Duration
	ConnectDelay  time.Duration
	Connections   int
	// Reserved is the number of connections that ReservedUser may open
	// above the limit of Connections.
	Reserved     int
	ReservedUser string
}

// Faults are the injected faults that are in force.
type Faults struct {
	// Partition cuts the member off from its group.
	Partition bool
	// Isolate cuts the member off from its group and its callers.
	Isolate bool
	// Freeze stops all traffic, commits and replay.
	Freeze bool
	// PauseAnswers is the number of next answers to commits that are
	// delayed by PauseTime.
	PauseAnswers int
	PauseTime    time.Duration
	// DropAnswers is the number of next answers to commits that are
	// dropped.
	DropAnswers int
}

// Contact is when a member last received a message from another.
type Contact struct {
	Member chervilladder.UpstreamID
	Term   chervilladder.Term
	At     time.Time
}

// Board is the blackboard of one member. The group's keeper writes Member,
// the control interface writes Settings, and the connections to other members
// write LastContact. Faults are written by the control interface, and by the
// sessions, which count down the answers to pause or drop.
type Board struct {
	Member   *board.Section[MemberState]
	Settings *board.Section[Settings]
	Faults   *board.Section[Faults]
	// LastContact is when the member last received a message from its primary,
	// or on the primary from any replica.
	LastContact *board.Section[Contact]
}

// New returns the board of a replica that knows no primary.
func New(s Settings) *Board {
	return &Board{
		Member:      board.NewSection(MemberState{Role: chervilladder.RoleReplica}),
		Settings:    board.NewSection(s),
		Faults:      board.NewSection(Faults{}),
		LastContact: board.NewSection(Contact{}),
	}
}

// Primary reports whether the member considers itself primary.
func (b *Board) Primary() bool {
	return b.Member.Load().Role == chervilladder.RolePrimary
}

// Contact returns the time since the member last received a message from its
// primary, or on the primary from any replica. It returns false if it has
// received none in the present term.
func (b *Board) Contact() (time.Duration, bool) {
	s, c := b.Member.Load(), b.LastContact.Load()
	known := c.Term == s.Term && !c.At.IsZero()
	if s.Role == chervilladder.RoleReplica {
		known = known && c.Member == s.Primary
	}
	return time.Since(c.At), known
}

// AwaitUnblocked waits while blocked reports true for the faults in force.
func (b *Board) AwaitUnblocked(ctx context.Context, blocked func(Faults) bool) error {
	for {
		f, changed := b.Faults.Watch()
		if !blocked(f) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Sleep waits for a duration, or until the context is done.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// AwaitAge waits until the duration of a setting has passed since a time. It
// follows changes of the setting while it waits.
func (b *Board) AwaitAge(ctx context.Context, since time.Time, setting func(Settings) time.Duration) error {
	for {
		s, changed := b.Settings.Watch()
		left := time.Until(since.Add(setting(s)))
		if left <= 0 {
			return context.Cause(ctx)
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}
