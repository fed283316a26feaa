package caller

import (
	"errors"
	"time"
)

// errDraining tells that the VM drains and that the session has nothing in
// flight.
var errDraining = errors.New("VM is draining")

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// awaitCaller waits until the caller sends something. Between transactions a
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

// leaveIdle takes back the deadline of an interrupt that came too late.
func (s *session) leaveIdle() {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.idle = false
	if s.draining {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

// interrupt ends the session once it has nothing in flight.
func (s *session) interrupt() {
	s.idleMu.Lock()
	defer s.idleMu.Unlock()
	s.draining = true
	if s.idle {
		_ = s.conn.SetReadDeadline(past)
	}
}
