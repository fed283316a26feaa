package caller

import (
	"context"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// cancelKeys finds the session that a cancel request is for.
type cancelKeys struct {
	mu       sync.Mutex
	sessions map[uint32]*session
	// draining is set once the VM drains; new sessions are interrupted at
	// once.
	draining bool
}

// add registers a session under a new unique key.
func (k *cancelKeys) add(s *session) chervilladder.CancelKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sessions == nil {
		k.sessions = make(map[uint32]*session)
	}
	for {
		key := chervilladder.NewCancelKey(s.server.Board.Self.ID)
		if _, taken := k.sessions[key.Process]; taken {
			continue
		}
		s.key = key
		k.sessions[key.Process] = s
		if k.draining {
			s.interrupt()
		}
		return key
	}
}

func (k *cancelKeys) remove(key chervilladder.CancelKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.sessions, key.Process)
}

// cancel stops the running statement of the session that a key belongs to.
func (k *cancelKeys) cancel(key chervilladder.CancelKey) {
	k.mu.Lock()
	s, ok := k.sessions[key.Process]
	ok = ok && s.key == key
	k.mu.Unlock()
	if ok {
		s.cancel()
	}
}

var _ chervilladder.Canceller = (*Server)(nil)

// Cancel stops the running statement of a session at this VM.
func (s *Server) Cancel(_ context.Context, k chervilladder.CancelKey) {
	s.keys.cancel(k)
}

// interruptAll ends the sessions that are idle outside a transaction, and makes
// the others end once they are.
func (k *cancelKeys) interruptAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	for _, s := range k.sessions {
		s.interrupt()
	}
}

// setRunning sets the exchange that a cancel request stops.
func (s *session) setRunning(exchange chervilladder.Exchange) {
	s.runningMu.Lock()
	s.running = exchange
	s.runningMu.Unlock()
}

func (s *session) cancel() {
	s.runningMu.Lock()
	exchange := s.running
	s.runningMu.Unlock()
	if exchange != nil {
		exchange.Cancel()
	}
}
