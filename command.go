package chervilladder

// CommandID is the id that a caller gave to a command. Commands of the
// system's own have none.
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
	// CommandSet sets a session value: Name to Rest.
	CommandSet
	// CommandPrepare gives the shape in Rest a name; Access is how it runs.
	CommandPrepare
	// CommandExecute runs the prepared statement Name with Rest.
	CommandExecute
	// CommandDeallocate forgets the prepared statement Name.
	CommandDeallocate
	// CommandReset clears a connection's values and prepared statements.
	CommandReset
	// CommandStatus asks an upstream for its status.
	CommandStatus
	// CommandPause stops a replica from receiving, in the name of Term.
	CommandPause
	// CommandResume lets a paused replica receive again.
	CommandResume
	// CommandStepDown makes a primary of a term below Term a replica.
	CommandStepDown
)

// Command is one statement of a session, whatever protocol it came by.
type Command struct {
	ID   CommandID
	Kind CommandKind
	// Name is that of a session value or of a prepared statement.
	Name string
	// Rest is what follows, byte for byte as the caller sent it.
	Rest string
	// Access is how a prepared statement runs.
	Access Access
	// Since is the mark that the upstream's log must hold; zero asks for
	// none.
	Since Mark
	// Term is that of a pause or a step-down.
	Term Term
}

// TransactionState is what a session's next command will find.
type TransactionState uint8

// The three states.
const (
	// StateIdle is outside of a transaction.
	StateIdle TransactionState = iota
	// StateOpen is inside a transaction.
	StateOpen
	// StateFailed is inside a transaction that can only be rolled back.
	StateFailed
)

// Signature proves which upstream ran a command. It is passed on unchanged.
type Signature string

// NoSignature is the signature of answers that no upstream gave.
const NoSignature Signature = "-"

// Code classifies an error that ends a command.
type Code uint8

// The codes. Those of the first group promise that nothing of the caller's
// attempt is kept.
const (
	// CodeNone is success.
	CodeNone Code = iota
	// CodeBusy is a refusal for load: nothing ran.
	CodeBusy
	// CodeAborted says that the transaction was rolled back, or that a read
	// has no answer.
	CodeAborted
	// CodeLagging says that the log lacks a position: nothing ran.
	CodeLagging
	// CodeReadOnly says that the upstream takes no writes: nothing ran.
	CodeReadOnly
	// CodeWrongUpstream says that another upstream lives at the address.
	CodeWrongUpstream
	// CodeConnectionLimit says that the upstream takes no more connections.
	CodeConnectionLimit

	// CodeInDoubt says that a commit or write may have been kept or not.
	CodeInDoubt
	// CodeTimeout says that the upstream ran the command for too long.
	CodeTimeout
	// CodeFailed says that the command ran and failed.
	CodeFailed
	// CodeNoStatement says that no prepared statement has the name.
	CodeNoStatement
	// CodeMalformed says that the command cannot be understood here.
	CodeMalformed
	// CodeNoDatabase says that no route leads to the database.
	CodeNoDatabase
	// CodeOther is any code that this list lacks.
	CodeOther
)

// Promises reports whether the code promises that nothing is kept.
func (c Code) Promises() bool {
	return c >= CodeBusy && c <= CodeConnectionLimit
}

// NotRun reports whether an upstream that answers with the code has not run
// the command.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeNoStatement, CodeWrongUpstream, CodeConnectionLimit:
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
	// State is that of the session after the command.
	State TransactionState
	// Mark is the end of the answering upstream's log; zero if none says.
	Mark Mark
}
