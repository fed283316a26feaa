package blackboard

import (
	"sync"

	"github.com/chervilladder/chervilladder"
)

// MinimumPosition is the minimum position of one session: what the session has
// observed of a database. A replica must have replayed it to serve the session.
type MinimumPosition struct {
	// Written is the mark of the latest write that was acknowledged to the
	// session.
	Written chervilladder.Mark
	// ReadPoll is a poll number taken after the session's last answer from a
	// replica; zero if there was none.
	ReadPoll PollNumber
	// Replica is the replica that gave that answer: its status of poll ReadPoll
	// or later covers what the session observed. If empty, the session may
	// have read from any replica.
	Replica chervilladder.UpstreamID
	// UnknownWritePoll is a poll number taken after a write of unknown outcome;
	// zero if there was none. The primary's status of poll UnknownWritePoll or
	// later covers the write if it was done, so that the session's reads can
	// find it.
	UnknownWritePoll PollNumber
}

// minimumShards is the number of shards over which sessions are spread to
// reduce lock contention between requests.
const minimumShards = 16

// sessionsPerShard limits the sessions with an entry of their own in a shard.
// If it is reached, the shard folds all entries into its common minimum, which
// is safe for every session.
const sessionsPerShard = 4096

// MinimumPositions holds the minimum position of each session, and in each
// shard a common minimum for the sessions without an entry. Its locks are never
// held during I/O.
type MinimumPositions struct {
	shards [minimumShards]minimumShard
}

type minimumShard struct {
	mu       sync.Mutex
	common   MinimumPosition
	sessions map[chervilladder.SessionID]MinimumPosition
}

// Get returns the minimum position of a session.
func (p *MinimumPositions) Get(id chervilladder.SessionID) MinimumPosition {
	s := p.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minimum(id)
}

// Wrote raises a session's minimum position to a write of its own.
func (p *MinimumPositions) Wrote(id chervilladder.SessionID, m chervilladder.Mark) {
	p.edit(id, func(minimum *MinimumPosition) { minimum.Written = minimum.Written.Later(m) })
}

// WroteUnknown records that the outcome of a session's write is unknown, with a
// poll number taken after that.
func (p *MinimumPositions) WroteUnknown(id chervilladder.SessionID, poll PollNumber) {
	p.edit(id, func(minimum *MinimumPosition) { minimum.UnknownWritePoll = max(minimum.UnknownWritePoll, poll) })
}

// Read records which replica answered a session, with a poll number taken after
// the answer.
func (p *MinimumPositions) Read(id chervilladder.SessionID, replica chervilladder.UpstreamID, poll PollNumber) {
	p.edit(id, func(minimum *MinimumPosition) { minimum.Replica, minimum.ReadPoll = replica, poll })
}

// ReadAged records which replica answered a read that wasn't required to see
// what the session had read before, with a poll number taken after the answer.
// If the session's earlier reads were at another replica, it has now observed
// more than one, so any replica may hold what it observed.
func (p *MinimumPositions) ReadAged(id chervilladder.SessionID, replica chervilladder.UpstreamID, poll PollNumber) {
	p.edit(id, func(minimum *MinimumPosition) {
		if minimum.ReadPoll != 0 && minimum.Replica != replica {
			replica = ""
		}
		minimum.Replica, minimum.ReadPoll = replica, poll
	})
}

// Reset removes all sessions' entries and applies a common minimum to every
// session. An owner calls it with the primary's position when it takes a claim,
// since it doesn't know what sessions observed before.
func (p *MinimumPositions) Reset(common chervilladder.Mark) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		s.common = MinimumPosition{Written: s.common.Written.Later(common)}
		s.sessions = nil
		s.mu.Unlock()
	}
}

func (p *MinimumPositions) edit(id chervilladder.SessionID, change func(*MinimumPosition)) {
	s := p.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = make(map[chervilladder.SessionID]MinimumPosition)
	}
	minimum := s.minimum(id)
	if _, known := s.sessions[id]; !known && len(s.sessions) >= sessionsPerShard {
		s.fold()
	}
	change(&minimum)
	s.sessions[id] = minimum
}

// minimum returns the minimum position of a session. Its Written and
// UnknownWritePoll are never below the common ones, which may have been raised
// since the session's entry was made. ReadPoll and Replica are not raised: the
// entry started from the common ones, and only the session's own reads change what
// it has read since.
func (s *minimumShard) minimum(id chervilladder.SessionID) MinimumPosition {
	minimum, known := s.sessions[id]
	if !known {
		return s.common
	}
	minimum.Written = minimum.Written.Later(s.common.Written)
	minimum.UnknownWritePoll = max(minimum.UnknownWritePoll, s.common.UnknownWritePoll)
	return minimum
}

// fold raises the common minimum to cover all sessions' entries and removes
// them.
func (s *minimumShard) fold() {
	for _, minimum := range s.sessions {
		s.common.Written = s.common.Written.Later(minimum.Written)
		s.common.ReadPoll = max(s.common.ReadPoll, minimum.ReadPoll)
		s.common.UnknownWritePoll = max(s.common.UnknownWritePoll, minimum.UnknownWritePoll)
	}
	s.sessions = make(map[chervilladder.SessionID]MinimumPosition)
}

func (p *MinimumPositions) shard(id chervilladder.SessionID) *minimumShard {
	return &p.shards[hash(string(id))%minimumShards]
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
