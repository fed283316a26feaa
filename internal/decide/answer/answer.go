// Package answer decides what a caller receives for a command that failed, and
// whether the command may be retried. A code that promises that nothing was
// kept is returned only if nothing can have been kept.
package answer

import (
	"errors"

	"github.com/chervilladder/chervilladder"
)

// Next says what follows a failed command.
type Next uint8

const (
	// Return returns the code to the caller.
	Return Next = iota
	// Retry retries the command, preferably at another upstream.
	Retry
)

// Autocommit judges an autocommit command by the code of the upstream's answer. With
// Retry it returns the code for the caller in case the command is not retried.
func Autocommit(code chervilladder.Code) (Next, chervilladder.Code) {
	if code.NotRun() {
		return Retry, chervilladder.CodeBusy
	}
	if code == chervilladder.CodeOther {
		return Return, chervilladder.CodeFailed
	}
	return Return, code
}

// AutocommitLost judges an autocommit command that was sent and whose answer
// was lost. A read may be retried; a write may have been committed. With Retry it
// returns the code for the caller in case the command is not retried.
func AutocommitLost(access chervilladder.Access) (Next, chervilladder.Code) {
	if access == chervilladder.AccessRead {
		return Retry, chervilladder.CodeAborted
	}
	return Return, chervilladder.CodeInDoubt
}

// CommitLost judges a transaction whose COMMIT was sent and not answered. If it
// wrote nothing, nothing is kept whether it committed or not.
func CommitLost(wrote bool) chervilladder.Code {
	if wrote {
		return chervilladder.CodeInDoubt
	}
	return chervilladder.CodeAborted
}

// Commit judges the code of an answer to COMMIT. If the answer says that the
// COMMIT didn't run, the transaction is rolled back, so nothing is kept.
func Commit(code chervilladder.Code, wrote bool) chervilladder.Code {
	switch {
	case code == chervilladder.CodeNone, code.PromisesNothingKept():
		return code
	case code == chervilladder.CodeNoStatement, !wrote:
		return chervilladder.CodeAborted
	case code == chervilladder.CodeFailed, code == chervilladder.CodeTimeout:
		return code
	default:
		return chervilladder.CodeInDoubt
	}
}

// Unsent judges an error that occurred before anything was sent.
func Unsent(err error) chervilladder.Code {
	var refused *chervilladder.LinkRefusedError
	if errors.As(err, &refused) && refused.Code.PromisesNothingKept() {
		return refused.Code
	}
	return chervilladder.CodeBusy
}
