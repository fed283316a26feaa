package blackboard

import (
	"sync"

	"github.com/chervilladder/chervilladder"
)

// Floor is what one session has observed of a database.
type Floor struct {
	// Written is the latest write that the session was told of.
	Written chervilladder.Mark
	// Tick was taken after the session's last answer from a replica; zero
	// if there was none.
	Tick Tick
	// Replica gave that answer: a status of it asked for at Tick or later
	// covers what the session saw. If it is empty, any replica may have.
	Replica chervilladder.UpstreamID
	// Unsure was taken after a write of unknown outcome; zero if there was
	// none. A status of the primary asked for at Unsure or later covers the
	// write if it was done, so that the session can look for it.
	Unsure Tick
}

// floorShards spreads sessions so that requests seldom meet on a lock.
const floorShards = 16

// floorsPerShard bounds the sessions that a shard remembers by name. Sessions
// beyond it are held to the common floor, which is safe for all.
const floorsPerShard = 4096

// Floors holds the floor of each session, and a common floor for those that
// it has no entry for. Its locks are never held during I/O.
type Floors struct {
	shards [floorShards]floorShard
}

type floorShard struct {
	mu       sync.Mutex
	common   Floor
	sessions map[chervilladder.SessionID]Floor
}

// Get returns the floor of a session.
func (f *Floors) Get(id chervilladder.SessionID) Floor {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor(id)
}

// Wrote raises a session's floor to a write of its own.
func (f *Floors) Wrote(id chervilladder.SessionID, m chervilladder.Mark) {
	f.edit(id, func(floor *Floor) { floor.Written = floor.Written.Later(m) })
}

// Lost records that the outcome of a session's write is unknown, and a tick
// taken after that.
func (f *Floors) Lost(id chervilladder.SessionID, t Tick) {
	f.edit(id, func(floor *Floor) { floor.Unsure = max(floor.Unsure, t) })
}

// Read records which replica answered a session and a tick taken after that.
func (f *Floors) Read(id chervilladder.SessionID, replica chervilladder.UpstreamID, t Tick) {
	f.edit(id, func(floor *Floor) { floor.Replica, floor.Tick = replica, t })
}

// ReadAged records that a replica answered a read that did not hold to what
// the session had read before, and a tick taken after that. Unless that was
// from the same replica, the session may since have seen what any replica holds.
func (f *Floors) ReadAged(id chervilladder.SessionID, replica chervilladder.UpstreamID, t Tick) {
	f.edit(id, func(floor *Floor) {
		if floor.Tick != 0 && floor.Replica != replica {
			replica = ""
		}
		floor.Replica, floor.Tick = replica, t
	})
}

// Reset forgets all sessions and holds every one of them to a common floor.
// An owner calls it with the primary's position when it takes a claim, since
// it doesn't know what sessions observed before.
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
	floor := s.floor(id)
	if _, known := s.sessions[id]; !known && len(s.sessions) >= floorsPerShard {
		s.fold()
	}
	change(&floor)
	s.sessions[id] = floor
}

// floor returns the floor of a session, which is never below the common one.
func (s *floorShard) floor(id chervilladder.SessionID) Floor {
	floor, known := s.sessions[id]
	if !known {
		return s.common
	}
	floor.Written = floor.Written.Later(s.common.Written)
	floor.Unsure = max(floor.Unsure, s.common.Unsure)
	return floor
}

// fold raises the common floor to those of all sessions and forgets them.
func (s *floorShard) fold() {
	for _, floor := range s.sessions {
		s.common.Written = s.common.Written.Later(floor.Written)
		s.common.Tick = max(s.common.Tick, floor.Tick)
		s.common.Unsure = max(s.common.Unsure, floor.Unsure)
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
