package answer

import "github.com/chervilladder/chervilladder"

// Forwarded is how much of one transaction, or of one autocommit statement, was
// forwarded to another VM.
type Forwarded struct {
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
func (f Forwarded) Lost(db chervilladder.DatabaseID, err error) error {
	switch {
	case !f.Sent || f.Reads:
		return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonNoOwner, Err: err}
	case f.Open && !f.Commits:
		return &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonRolledBack, Err: err}
	default:
		return &chervilladder.UnknownError{Database: db, Err: err}
	}
}
