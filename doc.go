// Package chervilladder defines what all parts of the proxy share: the named
// types for ids and units, the interfaces behind which behaviour varies, and
// the error types. It imports no other package of this module.
//
// The packages below internal/ implement the interfaces. They share state only
// through the blackboard (internal/blackboard). Controllers write most of it, and
// the path of a request reads it; each field names its writers.
//
// Databases are served in one of two ways. With an owner, one VM schedules all
// work of a database; the other VMs forward their work to it (Catalogue, Database,
// Member). Without an owner, each VM that holds connections to a replicated
// service's upstreams serves the service itself (Routing, Registered, Link).
package chervilladder
