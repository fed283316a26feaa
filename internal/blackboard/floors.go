package blackboard

import (
	"sync"

	"github.com/chervilladder/chervilladder"
)

// Floor is the minimum position of one session: what it has observed of a
// database and a replica must have replayed to serve it.
type Floor struct {
	// Written is the mark of the latest write that was acknowledged to the
	// session.
	Written chervilladder.Mark
	// Tick is a poll number taken after the session's last answer from a
	// replica; zero if there was none.
	Tick Tick
	// Replica is the replica that gave that answer: its status of poll Tick
	// or later covers what the session observed. If empty, the session may
	// have read from any replica.
	Replica chervilladder.UpstreamID
	// Unsure is a poll number taken after a write of unknown outcome; zero
	// if there was none. The primary's status of poll Unsure or later covers
	// the write if it was done, so that the session's reads can find it.
	Unsure Tick
}

// floorShards is the number of shards over which sessions are spread to reduce
// lock contention between requests.
const floorShards = 16

// floorsPerShard limits the sessions with an entry of their own in a shard. If
// it is reached, the shard folds all entries into its common minimum, which is
// safe for every session.
const floorsPerShard = 4096

// Floors holds the minimum position of each session, and in each shard a common
// minimum for the sessions without an entry. Its locks are never held during
// I/O.
type Floors struct {
	shards [floorShards]floorShard
}

type floorShard struct {
	mu       sync.Mutex
	common   Floor
	sessions map[chervilladder.SessionID]Floor
}

// Get returns the minimum position of a session.
func (f *Floors) Get(id chervilladder.SessionID) Floor {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minimum(id)
}

// Wrote raises a session's minimum position to a write of its own.
func (f *Floors) Wrote(id chervilladder.SessionID, m chervilladder.Mark) {
	f.edit(id, func(minimum *Floor) { minimum.Written = minimum.Written.Later(m) })
}

// Lost records that the outcome of a session's write is unknown, with a poll
// number taken after that.
func (f *Floors) Lost(id chervilladder.SessionID, t Tick) {
	f.edit(id, func(minimum *Floor) { minimum.Unsure = max(minimum.Unsure, t) })
}

// Read records which replica answered a session, with a poll number taken after
// the answer.
func (f *Floors) Read(id chervilladder.SessionID, replica chervilladder.UpstreamID, t Tick) {
	f.edit(id, func(minimum *Floor) { minimum.Replica, minimum.Tick = replica, t })
}

// ReadAged records which replica answered a read that wasn't required to see
// what the session had read before, with a poll number taken after the answer.
// If the session's earlier reads were at another replica, it has now observed
// more than one, so any replica may hold what it observed.
func (f *Floors) ReadAged(id chervilladder.SessionID, replica chervilladder.UpstreamID, t Tick) {
	f.edit(id, func(minimum *Floor) {
		if minimum.Tick != 0 && minimum.Replica != replica {
			replica = ""
		}
		minimum.Replica, minimum.Tick = replica, t
	})
}

// Reset removes all sessions' entries and applies a common minimum to every
// session. An owner calls it with the primary's position when it takes a claim,
// since it doesn't know what sessions observed before.
func (f *Floors) Reset(common chervilladder.Mark) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		s.common = Floor{Written: s.common.Written.Later(common)}
		s.sessions = nil
		s.mu.Unlock()
	}
}

func (f *Floors) edit(id chervilladder.SessionID, change func(*Floor)) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = make(map[chervilladder.SessionID]Floor)
	}
	minimum := s.minimum(id)
	if _, known := s.sessions[id]; !known && len(s.sessions) >= floorsPerShard {
		s.fold()
	}
	change(&minimum)
	s.sessions[id] = minimum
}

// minimum returns the minimum position of a session, which is never below the
// common one.
func (s *floorShard) minimum(id chervilladder.SessionID) Floor {
	minimum, known := s.sessions[id]
	if !known {
		return s.common
	}
	minimum.Written = minimum.Written.Later(s.common.Written)
	minimum.Unsure = max(minimum.Unsure, s.common.Unsure)
	return minimum
}

// fold raises the common minimum to cover all sessions' entries and removes
// them.
func (s *floorShard) fold() {
	for _, minimum := range s.sessions {
		s.common.Written = s.common.Written.Later(minimum.Written)
		s.common.Tick = max(s.common.Tick, minimum.Tick)
		s.common.Unsure = max(s.common.Unsure, minimum.Unsure)
	}
	s.sessions = make(map[chervilladder.SessionID]Floor)
}

func (f *Floors) shard(id chervilladder.SessionID) *floorShard {
	return &f.shards[hash(string(id))%floorShards]
}

// hash is FNV-1a, which needs no allocation.
func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h ^= uint32(s[i])
		h *= 16777619
	}
	return h
}
