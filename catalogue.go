package chervilladder

import "time"

// Catalogue is a published configuration, resolved for look-up. It is
// immutable.
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

// Upstream is one member of a database's group as the service file defines it.
type Upstream struct {
	ID         UpstreamID
	Database   DatabaseID
	Address    Address
	DataCentre DataCentreID
	// Slots is how many statements the member runs at once.
	Slots int
	// Connections is how many connections all VMs together may open to it.
	Connections int
	// Leaving is set when the member must get no new work.
	Leaving bool
}

// Confirm says what a write waits for before it is acknowledged, besides the
// proof that its term is still the newest.
type Confirm uint8

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
	// Target is the response time within which work meets the objective.
	Target time.Duration
	// Deadline bounds the time to an answer.
	Deadline time.Duration
	// Idempotent work may be retried after its answer was lost.
	Idempotent bool
	// AcceptedAge is how old the data of a read may be; zero means that
	// reads see everything their session has observed.
	AcceptedAge time.Duration
	Confirm     Confirm
	// FloorPercent is the share of slot time that is reserved for the class
	// while it has work waiting, whatever the priority of other work.
	FloorPercent int
	// ObjectivePercent is the share of work that must meet the target.
	ObjectivePercent float64
}
