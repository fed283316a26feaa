package chervilladder

// VMID names one VM of the system. It is stable for the life of the VM and is
// never reused.
type VMID string

// DataCentreID names one data centre, such as "cr-central-a".
type DataCentreID string

// ServiceID names a service, such as "agenda-salas".
type ServiceID string

// DatabaseID names a replicated database. It is unique over all services.
type DatabaseID string

// UpstreamID names one member of a database's group. It is unique over all
// databases.
type UpstreamID string

// ClassID names a class of work within a service, such as "confirmation".
type ClassID string

// SessionID names a caller's session. A session outlives its connections and
// may roam between VMs.
type SessionID string

// AttemptID identifies one attempt at a change, so that its sender can recognise
// the change as its own if the answer was lost.
type AttemptID string

// TransactionID identifies a transaction at one primary within one term.
type TransactionID string

// Address is an IP address and a port, such as "127.0.0.1:5432".
type Address string
