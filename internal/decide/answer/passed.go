package answer

import "github.com/chervilladder/chervilladder"

// Passed is how much of one transaction, or of one autocommit statement, was
// forwarded to another VM.
type Passed struct {
	// Sent is set once something was sent.
	Sent bool
	// Reads is set if everything that was sent only reads.
	Reads bool
	// Open is set while a transaction is known to be open at the other VM.
	Open bool
	// Commits is set if what was sent last may make a change durable.
	Commits bool
}

// Lost returns the error for forwarded work whose VM could not be reached or
// failed: a *NotRunError or an *UnknownError.
func (p Passed) Lost(db chervilladder.DatabaseID, err error) error {
	switch {
	case !p.Sent || p.Reads:
		return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonNoOwner, Err: err}
	case p.Open && !p.Commits:
		return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonRolledBack, Err: err}
	default:
		return &chervilladder.UnknownError{Database: db, Err: err}
	}
}
