package caller

import (
	"errors"
	"net"
	"time"

	"github.com/chervilladder/chervilladder"
)

// errDraining ends a session that is idle while the VM drains.
var errDraining = errors.New("VM is draining")

// pastDeadline is a deadline that makes a read time out immediately.
var pastDeadline = time.Unix(1, 0)

// awaitCaller waits until the caller sends something. Outside a transaction, a
// drain ends the wait.
func (s *session) awaitCaller() error {
	if s.exchange != nil {
		return s.reader.wait()
	}
	if err := s.enterIdle(); err != nil {
		return err
	}
	defer s.leaveIdle()
	return s.reader.wait()
}

func (s *session) enterIdle() error {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	if s.draining {
		return errDraining
	}
	s.idle = true
	return nil
}

// leaveIdle marks the session as busy. It clears the read deadline that a
// concurrent interrupt may have set after the caller had sent something.
func (s *session) leaveIdle() {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.idle = false
	if s.draining {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

// interrupt ends the session as soon as it is idle.
func (s *session) interrupt() {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.draining = true
	if s.idle {
		_ = s.conn.SetReadDeadline(pastDeadline)
	}
}

// cutOff closes the connection of a session that has outlasted the drain. A caller whose
// work is unanswered is told that its outcome is unknown, unless a part of the answer is
// being written.
func (s *session) cutOff(conn net.Conn) {
	defer conn.Close()
	if s.answering.Load() && s.writing.TryLock() {
		defer s.writing.Unlock()
		s.sendFatal(&chervilladder.UnknownError{Database: s.database, Err: errDraining})
	}
}
