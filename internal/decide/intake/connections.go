package intake

// The parts of the descriptors, as fractions of divisor, that connections may take. The
// rest is for links to upstreams and for the platform's store.
const (
	divisor    = 32
	callerPart = 22
	peerPart   = 4
	httpPart   = 1
)

// Connections bounds the open connections by what opens them; zero means no bound.
type Connections struct {
	Callers, Peers int
	// HTTP is the bound of each HTTP server.
	HTTP int
}

// minConnections is the least bound.
const minConnections = 4

// ShareDescriptors divides the descriptors for sockets; zero means no bound.
func ShareDescriptors(sockets int) Connections {
	if sockets <= 0 {
		return Connections{}
	}
	part := func(n int) int { return max(minConnections, sockets*n/divisor) }
	return Connections{Callers: part(callerPart), Peers: part(peerPart), HTTP: part(httpPart)}
}

// FreshConnections is how many of the connections that were accepted last count as fresh.
const FreshConnections = 16

// maxEvicting is how many connections are closed at once to make room.
const maxEvicting = 32

// EvictFrom returns the number of connections from which on one is closed for each that is
// accepted. It is below the limit, so that callers can connect while others are closed.
func EvictFrom(limit int) int { return limit - min(maxEvicting, limit/4) }

// Phase is what a caller's connection is doing.
type Phase uint8

// The phases, in the order in which connections are closed when there are too many.
const (
	// PhaseOpening is the wait for the message that opens a session.
	PhaseOpening Phase = iota
	// PhaseIdle is the wait for a message outside of a transaction.
	PhaseIdle
	// PhaseReading is the wait for the remainder of a message.
	PhaseReading
	// PhaseInTransaction is the wait for a message inside a transaction.
	PhaseInTransaction
	// PhaseFresh is PhaseOpening for one of the connections that were accepted last.
	PhaseFresh
	// PhaseWorking is all else; such a connection isn't closed.
	PhaseWorking
)

// Waiting describes a caller's connection for the choice of which to close.
type Waiting struct {
	Phase Phase
	// Since orders connections by when their phase began.
	Since uint64
}

// ClosesBefore reports whether a connection is closed before another one.
func (w Waiting) ClosesBefore(other Waiting) bool {
	if w.Phase != other.Phase {
		return w.Phase < other.Phase
	}
	return w.Since < other.Since
}
