package caller

import (
	"crypto/rand"
	"encoding/binary"
	"sync"

	"github.com/chervilladder/chervilladder"
)

// secretBytes is the length of a cancel key's secret.
const secretBytes = 4

// cancelKey is what a caller presents to cancel its running statement.
type cancelKey struct {
	process uint32
	secret  [secretBytes]byte
}

// cancelKeys finds the session that a cancel request is for.
type cancelKeys struct {
	mu       sync.Mutex
	sessions map[uint32]*session
	// draining is set once new sessions have to end at once.
	draining bool
}

// add gives a session a key of its own.
func (k *cancelKeys) add(s *session) cancelKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sessions == nil {
		k.sessions = make(map[uint32]*session)
	}
	for {
		var random [4 + secretBytes]byte
		_, _ = rand.Read(random[:])
		process := binary.BigEndian.Uint32(random[:4]) >> 1
		if _, taken := k.sessions[process]; taken || process == 0 {
			continue
		}
		k.sessions[process] = s
		if k.draining {
			s.interrupt()
		}
		return cancelKey{process: process, secret: [secretBytes]byte(random[4:])}
	}
}

func (k *cancelKeys) remove(key cancelKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.sessions, key.process)
}

// cancel stops the running statement of the session that a key belongs to.
func (k *cancelKeys) cancel(process uint32, secret []byte) {
	k.mu.Lock()
	s, ok := k.sessions[process]
	k.mu.Unlock()
	if ok && string(s.key.secret[:]) == string(secret) {
		s.cancel()
	}
}

// interruptAll ends the sessions that wait for their callers, and lets the
// others end once their work is answered.
func (k *cancelKeys) interruptAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	for _, s := range k.sessions {
		s.interrupt()
	}
}

// setRunning names the exchange that a cancel request stops.
func (s *session) setRunning(x chervilladder.Exchange) {
	s.runningMu.Lock()
	s.running = x
	s.runningMu.Unlock()
}

func (s *session) cancel() {
	s.runningMu.Lock()
	x := s.running
	s.runningMu.Unlock()
	if x != nil {
		x.Cancel()
	}
}
