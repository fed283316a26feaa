package session

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
)

// shutdownPlan returns the plan of the VM's shutdown; zero while there is none.
func (m *Manager) shutdownPlan() shutdown.Plan { return m.c.Board.Local.Load().Shutdown }

// checkTaken returns an error if the VM shuts down and takes no more work that may last for
// a time.
func (s *session) checkTaken(lasts time.Duration) error {
	if s.m.shutdownPlan().Fits(lasts, time.Now()) {
		return nil
	}
	return &chervilladder.NotRunError{Database: s.db, Reason: chervilladder.ReasonDraining, RetryAfter: otherVMRetryAfter}
}

// allowance returns the time that a command must have before the VM has shut down. Reads
// get their usual time: one that takes longer is aborted, and its caller may repeat it. A
// write or commit gets all the time that its route allows, as it would end in doubt, and a
// transaction as well.
func allowance(route chervilladder.Route, kind chervilladder.CommandKind, access chervilladder.Access) time.Duration {
	begins := kind == chervilladder.CommandBegin || kind == chervilladder.CommandBeginRead
	if begins || kind == chervilladder.CommandCommit || access == chervilladder.AccessWrite {
		return route.StatementTimeout()
	}
	return route.UsualTime()
}

// mayContinue reports whether another command of a transaction is answered before the VM
// has shut down. Only a commit may end in doubt.
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

// enter counts the session as one with work in flight.
func (s *session) enter() {
	if !s.inFlight {
		s.inFlight = true
		s.m.c.Board.InFlight.Add(1)
	}
}

// leave ends that once no transaction is open.
func (s *session) leave() {
	if s.inFlight && s.tx == nil {
		s.inFlight = false
		s.m.c.Board.InFlight.Add(-1)
	}
}
