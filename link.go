package chervilladder

import (
	"context"
	"time"
)

// Registered is one upstream as it last registered itself.
type Registered struct {
	ID         UpstreamID
	Service    ServiceID
	Address    Address
	DataCentre DataCentreID
	Slots      int
	// Draining is set once the upstream has announced that it drains.
	Draining bool
	// Primary is set while the upstream considers itself the primary.
	Primary bool
	// Born is when the upstream started. An upstream that restarts under the
	// same id has lost its state.
	Born time.Time
	// Cold is how long the upstream stays slow after its start.
	Cold time.Duration
}

// LinkStatus is the status that an upstream reports on a link.
type LinkStatus struct {
	Primary bool
	// Term is the term of the primary that the upstream follows; for a primary
	// its own.
	Term Term
	// Received is the end of the log that the upstream has received.
	Received Mark
	// PauseTerm is the term of the promotion that the upstream is paused for,
	// or zero.
	PauseTerm Term
	// Lag is the replication lag of a replica's replay.
	Lag time.Duration
	// Busy is how many slots are in use.
	Busy int
	// Connections is how many connections are open at the upstream in total.
	Connections int
}

// Link is one connection to an upstream. It is used by one goroutine at a time;
// any goroutine may call Close.
type Link interface {
	// Send writes commands in one batch. They are answered in order. If a
	// command isn't valid, it sends none and returns an *InvalidFieldError.
	Send(deadline time.Time, commands ...Command) error
	// Receive returns the complete answer to the next command. Its error
	// is an *UpstreamLostError, after which the link is unusable.
	Receive(deadline time.Time) (Result, error)
	// DecodeStatus returns the status in the answer to CommandStatus, CommandPause,
	// CommandResume or CommandStepDown. The error is a *LinkRefusedError if the
	// answer holds none.
	DecodeStatus(r Result) (LinkStatus, error)
	Close()
}

// Linker opens links.
type Linker interface {
	// Open connects to the given upstream and to no other at its address, for work of a
	// client account; empty names the VM to the upstream instead. The error is a
	// *LinkRefusedError if the upstream refuses.
	Open(ctx context.Context, u Registered, account AccountID) (Link, error)
}

// LinkRefusedError reports a request that an upstream refused.
type LinkRefusedError struct {
	Upstream UpstreamID
	Code     Code
	Text     string
}

// Error names the upstream and includes its message.
func (e *LinkRefusedError) Error() string {
	return "upstream " + string(e.Upstream) + ": refused: " + e.Text
}
