package chervilladder

import (
	"context"
	"time"
)

// Registered is one upstream as it last described itself.
type Registered struct {
	ID         UpstreamID
	Service    ServiceID
	Address    Address
	DataCentre DataCentreID
	Slots      int
	// Draining is set once the upstream has said that it leaves.
	Draining bool
	// Primary is set while the upstream takes itself for the primary.
	Primary bool
	// Born is when the upstream started; one that starts again under its
	// id knows nothing of before.
	Born time.Time
	// Cold is how long the upstream stays slow after its start.
	Cold time.Duration
}

// LinkStatus is what an upstream says of itself on a link.
type LinkStatus struct {
	Primary bool
	// Term is that of the primary that the upstream follows, or its own.
	Term Term
	// Received is the end of the log that has reached the upstream.
	Received Mark
	// Held is the term in whose name the upstream is paused, or zero.
	Held Term
	// Lag is how far a replica's replay is behind.
	Lag time.Duration
	// Busy is how many slots are in use.
	Busy int
	// Connections is how many connections all callers have open together.
	Connections int
}

// Link is one connection to an upstream. It is used by one goroutine at a
// time; Close may be called by any.
type Link interface {
	// Send writes commands in one go. Each is answered in order.
	Send(deadline time.Time, commands ...Command) error
	// Receive returns the complete answer to the next command. Its error
	// is an *UpstreamLostError, after which the link is of no more use.
	Receive(deadline time.Time) (Result, error)
	// Status asks for the upstream's status by one command, which must be
	// CommandStatus, CommandPause, CommandResume or CommandStepDown. The
	// error is a *LinkRefusedError if the upstream answers otherwise.
	Status(deadline time.Time, c Command) (LinkStatus, error)
	Close()
}

// Linker opens links.
type Linker interface {
	// Open connects to exactly the given upstream. The error is a
	// *LinkRefusedError if the upstream answers and refuses.
	Open(ctx context.Context, u Registered) (Link, error)
}

// LinkRefusedError reports an upstream that answered and did not do what it
// was asked.
type LinkRefusedError struct {
	Upstream UpstreamID
	Code     Code
	Text     string
}

// Error says which upstream refused, and its words.
func (e *LinkRefusedError) Error() string {
	return "upstream " + string(e.Upstream) + ": refused: " + e.Text
}
