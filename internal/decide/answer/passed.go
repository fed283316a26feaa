package answer

import "github.com/chervilladder/chervilladder"

// Passed is what another VM has been sent of one transaction, or one lone
// statement.
type Passed struct {
	// Sent is set once something was sent.
	Sent bool
	// Reads is set if all of it only reads.
	Reads bool
	// Open is set while a transaction is known to be open there.
	Open bool
	// Commits is set if what was sent last may make a change durable.
	Commits bool
}

// Lost says what is known of work whose VM could not be reached or went away.
// Its error is a *NotRunError or an *UnknownError.
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
