package session

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
)

// shutdownPlan returns the plan of the VM's shutdown; zero while there is none.
func (m *Manager) shutdownPlan() shutdown.Plan { return m.c.Board.Local.Load().Shutdown }

// checkTaken returns an error if the VM shuts down and may not be able to answer work in
// time that needs up to a duration.
func (s *session) checkTaken(needs time.Duration) error {
	if s.m.shutdownPlan().Fits(needs, time.Now()) {
		return nil
	}
	return &chervilladder.NotRunError{Database: s.db, Reason: chervilladder.ReasonDraining, RetryAfter: otherVMRetryAfter}
}

// allowance returns the time that must be left for a command before the VM has shut down.
// For a read that is its usual time: one that takes longer is aborted, and its caller may
// repeat it. For a write, a commit and the start of a transaction it is all the time that
// the route allows: a write or commit that is cut off ends in doubt.
func allowance(route chervilladder.Route, kind chervilladder.CommandKind, access chervilladder.Access) time.Duration {
	begins := kind == chervilladder.CommandBegin || kind == chervilladder.CommandBeginRead
	if begins || kind == chervilladder.CommandCommit || access == chervilladder.AccessWrite {
		return route.StatementTimeout()
	}
	return route.UsualTime()
}

// mayContinue reports whether another command of an open transaction is taken. Writes count
// as reads there, as only a commit may end in doubt.
func (s *session) mayContinue(route chervilladder.Route, kind chervilladder.CommandKind) bool {
	return s.checkTaken(allowance(route, kind, chervilladder.AccessRead)) == nil
}

// endTransaction rolls back the transaction of a VM that shuts down. The caller ends it
// with a COMMIT or a ROLLBACK.
func (s *session) endTransaction(c chervilladder.Command) chervilladder.Result {
	s.tx.fail()
	if c.Kind == chervilladder.CommandCommit {
		s.tx = nil
	}
	return failure(chervilladder.CodeAborted, "the VM is shutting down; the transaction was rolled back")
}

// enter counts the session in the board's InFlight, and leave takes it out again once no
// transaction is open.
func (s *session) enter() {
	if !s.inFlight {
		s.inFlight = true
		s.m.c.Board.InFlight.Add(1)
	}
}

func (s *session) leave() {
	if s.inFlight && s.tx == nil {
		s.inFlight = false
		s.m.c.Board.InFlight.Add(-1)
	}
}
