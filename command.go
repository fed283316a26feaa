package chervilladder

import "strings"

// CommandID is the id that a caller gave to a command. Commands that the proxy
// itself sends have none.
type CommandID string

// CommandKind says what a command does.
type CommandKind uint8

// The kinds of commands. The zero kind is no command.
const (
	CommandNone CommandKind = iota
	// CommandBegin opens a transaction that may write.
	CommandBegin
	// CommandBeginRead opens a transaction that only reads.
	CommandBeginRead
	CommandCommit
	CommandRollback
	CommandRead
	CommandWrite
	// CommandSet sets the session variable Name to Rest.
	CommandSet
	// CommandPrepare prepares the statement in Rest as Name; Access says
	// whether it reads or writes.
	CommandPrepare
	// CommandExecute runs the prepared statement Name with Rest.
	CommandExecute
	// CommandDeallocate removes the prepared statement Name.
	CommandDeallocate
	// CommandReset clears a connection's variables and prepared statements.
	CommandReset
	// CommandStatus requests an upstream's status.
	CommandStatus
	// CommandPause pauses a replica for a promotion in Term: it receives no
	// log until it is resumed.
	CommandPause
	// CommandResume lets a paused replica receive again.
	CommandResume
	// CommandStepDown demotes a primary of a term below Term to a replica.
	CommandStepDown
)

// ReturnsStatus reports whether an upstream answers a command of this kind with its
// status.
func (k CommandKind) ReturnsStatus() bool {
	switch k {
	case CommandStatus, CommandPause, CommandResume, CommandStepDown:
		return true
	default:
		return false
	}
}

// Command is one statement of a session, independent of the caller's protocol.
type Command struct {
	ID   CommandID
	Kind CommandKind
	// Name is the name of a session variable or of a prepared statement.
	Name string
	// Rest is the remainder of the command, byte for byte as the caller sent
	// it.
	Rest string
	// Access says whether a prepared statement reads or writes.
	Access Access
	// Since is the mark that the upstream's log must have reached; zero
	// requires none.
	Since Mark
	// Term is the term of a pause or a step-down.
	Term Term
}

// lineEnd ends a message to an upstream, and fieldSeparator a field that isn't the last.
const (
	lineEnd        = "\r\n"
	fieldSeparator = " "
)

// Validate returns an *InvalidFieldError if a text of the command would end its field or
// its message at an upstream, which would take the remainder for something else.
func (c Command) Validate() error {
	switch {
	case strings.Contains(string(c.ID), lineEnd) || strings.Contains(string(c.ID), fieldSeparator):
		return &InvalidFieldError{Field: "id", Value: string(c.ID)}
	case strings.Contains(c.Name, lineEnd) || c.Kind != CommandDeallocate && strings.Contains(c.Name, fieldSeparator):
		return &InvalidFieldError{Field: "name", Value: c.Name}
	case strings.Contains(c.Rest, lineEnd):
		return &InvalidFieldError{Field: "text", Value: c.Rest}
	default:
		return nil
	}
}

// TransactionState is the transaction state of a session after a command.
type TransactionState uint8

const (
	// StateIdle means that no transaction is open.
	StateIdle TransactionState = iota
	// StateOpen means that a transaction is open.
	StateOpen
	// StateFailed means that the open transaction can only be rolled back.
	StateFailed
)

// Signature proves which upstream ran a command. It is returned to the caller
// unchanged.
type Signature string

// NoSignature is the signature of answers that don't come from an upstream.
const NoSignature Signature = "-"

// Code classifies an error that ends a command.
type Code uint8

// The codes. Those from CodeBusy to CodeConnectionLimit promise that nothing that
// the caller attempted is kept.
const (
	// CodeNone is success.
	CodeNone Code = iota
	// CodeBusy means that the command was rejected because of load: nothing
	// ran.
	CodeBusy
	// CodeAborted means that the transaction was rolled back, or that a read
	// got no answer.
	CodeAborted
	// CodeLagging means that the upstream's log has not reached the required
	// position: nothing ran.
	CodeLagging
	// CodeReadOnly means that the upstream accepts no writes: nothing ran.
	CodeReadOnly
	// CodeWrongUpstream means that a different upstream is at the address.
	CodeWrongUpstream
	// CodeConnectionLimit means that the upstream accepts no more connections.
	CodeConnectionLimit

	// CodeInDoubt means that it is unknown whether a commit or write was kept.
	CodeInDoubt
	// CodeTimeout means that the command exceeded the upstream's time limit.
	CodeTimeout
	// CodeFailed means that the command ran and failed.
	CodeFailed
	// CodeNoStatement means that there is no prepared statement of the name.
	CodeNoStatement
	// CodeMalformed means that the command could not be parsed or is not valid
	// in the session's transaction state.
	CodeMalformed
	// CodeNoDatabase means that there is no route to the database.
	CodeNoDatabase
	// CodeDenied means that no client account holds the caller's key: nothing ran.
	CodeDenied
	// CodeOther stands for any code that is not in this list.
	CodeOther
)

// PromisesNothingKept reports whether the code promises that nothing is kept.
func (c Code) PromisesNothingKept() bool {
	return c >= CodeBusy && c <= CodeConnectionLimit
}

// NotRun reports whether an upstream that answered with the code did not run the
// command.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeNoStatement, CodeWrongUpstream, CodeConnectionLimit, CodeDenied:
		return true
	default:
		return false
	}
}

// Result is the complete answer to one command.
type Result struct {
	Rows      []string
	Signature Signature
	// Code is CodeNone on success; Text explains any other.
	Code Code
	Text string
	// State is the transaction state after the command.
	State TransactionState
	// Mark is the end of the answering upstream's log; zero if it was not
	// reported.
	Mark Mark
}
