package chervilladder

import "time"

// Access says which members of a group may run a piece of work.
type Access uint8

// The kinds of access. Work of an unknown kind is a write.
const (
	// AccessWrite is work that only the primary may run.
	AccessWrite Access = iota
	// AccessRead is work that a replica may run once it has replayed what
	// the session depends on.
	AccessRead
)

// Setting is one session parameter that a caller has set.
type Setting struct {
	Name  string
	Value string
}

// Statement is a prepared statement that work depends on. Name is its name at
// the upstream, derived from the SQL text and the parameter types.
type Statement struct {
	Name           string
	SQL            string
	ParameterTypes []uint32
}

// Work describes a transaction or a single statement to run. The statements
// themselves are sent as batches, encoded for the upstream; no decision about
// the work depends on their content.
type Work struct {
	Database DatabaseID
	Service  ServiceID
	Class    ClassID
	Session  SessionID
	// Caller identifies the caller for fair sharing within a priority.
	Caller string
	// Account is the client account to name to upstreams; may be empty.
	Account AccountID
	Access  Access
	// Seen is the latest mark that the session is known to have observed.
	Seen Mark
	// Arrived is when the VM that schedules the work received it.
	Arrived time.Time
	// Deadline bounds the wait for a slot and for the answer.
	Deadline time.Time
	Settings []Setting
}

// TransactionIDQuery says how the id of a batch's transaction can be queried before
// the batch runs. With the id, the outcome can be queried if the answer is lost. On
// the wire between VMs the field is named trace; it has nothing to do with
// distributed tracing.
type TransactionIDQuery uint8

// The ways to query a transaction's id.
const (
	// TransactionIDNone queries no id.
	TransactionIDNone TransactionIDQuery = iota
	// TransactionIDWithin queries it within the batch's own implicit transaction.
	TransactionIDWithin
	// TransactionIDBefore queries it in the open transaction that the batch commits.
	TransactionIDBefore
)

// Batch is a sequence of encoded messages that an upstream answers with exactly
// one ready message.
type Batch struct {
	// Payload holds the encoded messages.
	Payload []byte
	// Needs lists the prepared statements that the messages refer to.
	Needs []Statement
	// Closes is set when the batch ends a transaction block.
	Closes bool
	// Commits is set when running the batch may make a change durable.
	Commits bool
	// TransactionIDQuery says how the transaction's id can be queried before the batch
	// runs.
	TransactionIDQuery TransactionIDQuery
}

// Reply is a part of the answer to a batch.
type Reply struct {
	// Payload holds encoded messages, always whole ones.
	Payload []byte
	// Last is set on the part that ends the answer to a batch.
	Last bool
	// Open is set with Last while a transaction block stays open.
	Open bool
	// Seen is set with Last to what the session has now observed.
	Seen Mark
	// Upstream is set with Last to the member that answered.
	Upstream UpstreamID
}
