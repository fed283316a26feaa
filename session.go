package chervilladder

import "context"

// Sessions opens callers' sessions, independent of the callers' protocol:
//
//	s, err := sessions.Open(db, key)
//	if err != nil {
//		return err // a *NotRunError, for example without a route to the database
//	}
//	defer s.Close()
//	result := s.Do(ctx, command)
type Sessions interface {
	// Open begins a session at a database for the caller that presents a key. Its error
	// is a *NotRunError or a *DeniedError.
	Open(db DatabaseID, key Key) (Session, error)
}

// Session is the session of one caller. It is used by one goroutine at a time.
type Session interface {
	// Do runs a command and returns its complete answer. See the type Code for
	// what the answer's code guarantees.
	Do(ctx context.Context, c Command) Result
	// Close ends the session; an open transaction is rolled back.
	Close()
}
