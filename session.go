package chervilladder

import "context"

// Sessions opens callers' sessions, whatever protocol the callers speak:
//
//	s, err := sessions.Open(db, caller)
//	if err != nil {
//		return err // a *NotRunError: no route leads there
//	}
//	defer s.Close()
//	result := s.Do(ctx, command)
type Sessions interface {
	// Open begins a session at a database. Its error is a *NotRunError.
	Open(db DatabaseID, caller string) (Session, error)
}

// Session is what one caller has set up and depends on. It is used by one
// goroutine at a time.
type Session interface {
	// Do runs a command and returns its complete answer. What the answer
	// promises holds: see Code.
	Do(ctx context.Context, c Command) Result
	// Close ends the session; an open transaction is rolled back.
	Close()
}
