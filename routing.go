package chervilladder

import (
	"cmp"
	"time"
)

// Freshness says what a read must see.
type Freshness uint8

// The kinds of freshness.
const (
	// FreshPrimary reads see every commit acknowledged before them.
	FreshPrimary Freshness = iota
	// FreshBounded reads see every commit acknowledged more than the
	// route's MaxAge before them.
	FreshBounded
	// FreshOwnWrites reads are bounded, and see all of their session's own
	// commits.
	FreshOwnWrites
)

// ConfigVersion is the version that the platform's operator gives to a
// configuration.
type ConfigVersion uint64

// Route is the configuration of one database: how its sessions are served.
type Route struct {
	Database  DatabaseID
	Service   ServiceID
	Freshness Freshness
	// Timeout bounds a single statement.
	Timeout time.Duration
	// Target is the route's target response time for an operation.
	Target   time.Duration
	Priority Priority
	// MaxAge is how old the data of a read may be.
	MaxAge time.Duration
	// Attempts bounds how often a read is attempted.
	Attempts int
	// Open is set if callers need no key of a client account.
	Open bool `json:",omitempty" msgpack:",omitempty"`
}

// defaultStatementTimeout bounds a statement whose route names no timeout.
const defaultStatementTimeout = time.Second

// StatementTimeout returns Timeout, or the default for a route without one.
func (r Route) StatementTimeout() time.Duration {
	if r.Timeout <= 0 {
		return defaultStatementTimeout
	}
	return r.Timeout
}

// UsualTime returns the time within which a statement is usually answered.
func (r Route) UsualTime() time.Duration { return min(r.Target, r.StatementTimeout()) }

// ServiceLimits is the configuration of a replicated service.
type ServiceLimits struct {
	ID ServiceID
	// MaxConnections bounds the connections of all VMs to one upstream.
	MaxConnections int
	// SyncReplicas is how many replicas must have received a commit before
	// it is acknowledged.
	SyncReplicas int
}

// Routing is the operator's configuration. It is immutable.
type Routing struct {
	Version ConfigVersion
	// Revision orders configurations by when they were written.
	Revision StoreRevision
	Routes   map[DatabaseID]Route
	Services map[ServiceID]ServiceLimits
	// Accounts holds the client accounts; nil if the configuration names none.
	Accounts *Accounts `json:",omitempty"`
	// TransactionIdle is how long an open transaction may be idle.
	TransactionIdle time.Duration
}

// NewestRouting returns what is in force once a configuration was received while another
// one was known; either may be nil. A higher version outranks a lower one, whatever their
// revisions: after the platform's store has come back from an older copy, it gives out a
// lower version at a later revision until the operator's last one is written again. Of two
// of the same version, the later revision counts. The result bears the later revision.
func NewestRouting(known, received *Routing) *Routing {
	if known == nil || received == nil {
		return cmp.Or(known, received)
	}
	newest, at := known, known.Revision.Later(received.Revision)
	if received.Version > known.Version || received.Version == known.Version && received.Revision.After(known.Revision) {
		newest = received
	}
	if newest.Revision == at {
		return newest
	}
	kept := *newest
	kept.Revision = at
	return &kept
}

// MaxAge returns the greatest age that any route of a service accepts; zero if all
// its reads go to the primary.
func (r *Routing) MaxAge(s ServiceID) time.Duration {
	age := time.Duration(0)
	for _, route := range r.Routes {
		if route.Service == s && route.Freshness != FreshPrimary {
			age = max(age, route.MaxAge)
		}
	}
	return age
}
