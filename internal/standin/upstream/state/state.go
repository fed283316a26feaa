// Package state holds the sections that the parts of one upstream stand-in
// share: its place in the group, its settings and the faults in force.
package state

import (
	"context"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// Standing is a member's place in its group.
type Standing struct {
	Role chervilladder.Role
	// Term is the newest term that the member has accepted.
	Term    chervilladder.Term
	Attempt chervilladder.AttemptID
	// Primary is the member that a replica follows, if it knows one.
	Primary chervilladder.UpstreamID
	// Start is where the log stood when the member became primary.
	Start  chervilladder.Position
	Claim  chervilladder.Claim
	Holder chervilladder.VMID
}

// Settings are the sizes and times of a member.
type Settings struct {
	Slots         int
	StatementTime time.Duration
	ReplayLag     time.Duration
	ReceiveLag    time.Duration
	ConnectDelay  time.Duration
	Connections   int
	// Reserved is how many connections there are for ReservedUser besides
	// the others.
	Reserved     int
	ReservedUser string
}

// Faults are the faults in force.
type Faults struct {
	// Partition cuts the member off from its group.
	Partition bool
	// Isolate cuts the member off from its group and its callers.
	Isolate bool
	// Freeze stops everything.
	Freeze bool
	// PauseAnswers is how many answers to commits will be held back for
	// PauseTime.
	PauseAnswers int
	PauseTime    time.Duration
	// DropAnswers is how many answers to commits will be lost.
	DropAnswers int
}

// Heard is when a member last heard from another.
type Heard struct {
	Member chervilladder.UpstreamID
	Term   chervilladder.Term
	At     time.Time
}

// Board holds the sections. The group's keeper writes Standing, the control
// address writes Settings, the links to other members write Heard. Faults are
// written by the control address, and by the sessions that use up an entry.
type Board struct {
	Standing *board.Section[Standing]
	Settings *board.Section[Settings]
	Faults   *board.Section[Faults]
	// Heard is when the member last heard from its primary, or from the
	// closest replica when it is the primary.
	Heard *board.Section[Heard]
}

// New returns a board of a replica that knows no primary.
func New(s Settings) *Board {
	return &Board{
		Standing: board.NewSection(Standing{Role: chervilladder.RoleReplica}),
		Settings: board.NewSection(s),
		Faults:   board.NewSection(Faults{}),
		Heard:    board.NewSection(Heard{}),
	}
}

// Primary reports whether the member takes itself for the primary.
func (b *Board) Primary() bool {
	return b.Standing.Load().Role == chervilladder.RolePrimary
}

// Contact returns how long ago the member heard from its primary, or from the
// closest replica when it is the primary. It returns false for never.
func (b *Board) Contact() (time.Duration, bool) {
	s, h := b.Standing.Load(), b.Heard.Load()
	known := h.Term == s.Term && !h.At.IsZero()
	if s.Role == chervilladder.RoleReplica {
		known = known && h.Member == s.Primary
	}
	return time.Since(h.At), known
}

// AwaitFlow waits while a fault that the caller names is in force.
func (b *Board) AwaitFlow(ctx context.Context, blocked func(Faults) bool) error {
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

// Sleep waits for a time.
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

// AwaitAge waits until a time is as long ago as a setting says, also when the
// setting changes meanwhile.
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
