// Package answer decides what a caller is told of a command that ended badly,
// and whether it may be tried again. A promise that nothing is kept is made
// only where nothing can be kept.
package answer

import (
	"errors"

	"github.com/chervilladder/chervilladder"
)

// Next says what follows a command that ended badly.
type Next uint8

// The ways to go on.
const (
	// Tell passes the code on to the caller.
	Tell Next = iota
	// Retry tries the command again, preferably elsewhere.
	Retry
)

// Lone judges an autocommitted command by the code of the upstream's answer.
func Lone(code chervilladder.Code) (Next, chervilladder.Code) {
	if code.NotRun() {
		return Retry, chervilladder.CodeBusy
	}
	if code == chervilladder.CodeOther {
		return Tell, chervilladder.CodeFailed
	}
	return Tell, code
}

// LoneLost judges an autocommitted command whose answer was lost after it had
// been sent. A read may run again; a write may have been kept.
func LoneLost(access chervilladder.Access) (Next, chervilladder.Code) {
	if access == chervilladder.AccessRead {
		return Retry, chervilladder.CodeAborted
	}
	return Tell, chervilladder.CodeInDoubt
}

// CommitLost judges a transaction whose COMMIT was sent and not answered. One
// that wrote nothing keeps nothing either way.
func CommitLost(wrote bool) chervilladder.Code {
	if wrote {
		return chervilladder.CodeInDoubt
	}
	return chervilladder.CodeAborted
}

// Commit judges the code of an answer to COMMIT. A commit that was answered
// as not run is rolled back, so the promise holds.
func Commit(code chervilladder.Code, wrote bool) chervilladder.Code {
	switch {
	case code == chervilladder.CodeNone, code.Promises():
		return code
	case code == chervilladder.CodeNoStatement, !wrote:
		return chervilladder.CodeAborted
	case code == chervilladder.CodeFailed, code == chervilladder.CodeTimeout:
		return code
	default:
		return chervilladder.CodeInDoubt
	}
}

// Unsent judges an error that left nothing sent.
func Unsent(err error) chervilladder.Code {
	var refused *chervilladder.LinkRefusedError
	if errors.As(err, &refused) && refused.Code.Promises() {
		return refused.Code
	}
	return chervilladder.CodeBusy
}
