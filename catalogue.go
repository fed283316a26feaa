package chervilladder

import "time"

// Catalogue is a published configuration, resolved for look-up. It is never
// changed once it is built.
type Catalogue struct {
	Revision  Revision
	Services  map[ServiceID]*Service
	Databases map[DatabaseID]*Database
}

// Service is one service: its databases and its classes of work.
type Service struct {
	ID           ServiceID
	Classes      map[ClassID]*Class
	DefaultClass ClassID
	// RoleClasses maps the role that a caller signs in with to a class.
	RoleClasses map[string]ClassID
}

// Database is one replicated database of a service.
type Database struct {
	ID        DatabaseID
	Service   ServiceID
	Upstreams []Upstream
}

// Upstream is one member of a database's group as the service file gives it.
type Upstream struct {
	ID         UpstreamID
	Database   DatabaseID
	Address    Address
	DataCentre DataCentreID
	// Slots is how many statements the member runs at once.
	Slots int
	// Connections is how many connections the system may hold open to it.
	Connections int
	// Leaving is set when the member must get no new work.
	Leaving bool
}

// Confirm says what a write waits for before it is acknowledged, besides the
// proof that its term is still the newest.
type Confirm uint8

// The two levels of confirmation.
const (
	// ConfirmPrimary acknowledges once the primary has committed. A
	// failover may lose what no replica had received.
	ConfirmPrimary Confirm = iota
	// ConfirmReplica waits until a replica has received the write too, so
	// that no failover loses it.
	ConfirmReplica
)

// Class is a class of work within a service.
type Class struct {
	ID       ClassID
	Priority Priority
	// Target is the answer time that the objective counts.
	Target time.Duration
	// Deadline bounds the time to an answer.
	Deadline time.Duration
	// Idempotent work may be sent again after a lost answer.
	Idempotent bool
	// AcceptedAge is how old the data of a read may be; zero means that
	// reads see everything their session has observed.
	AcceptedAge time.Duration
	Confirm     Confirm
	// FloorPercent is the share of slots that the class keeps under flood.
	FloorPercent int
	// ObjectivePercent is the share of work that must meet the target.
	ObjectivePercent float64
}
