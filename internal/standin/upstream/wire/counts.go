package wire

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/sql"
)

// ClassCounts is the number of executed statements of each class.
type ClassCounts map[sql.Class]int64

// Counts counts the connections and statements since the server's start.
type Counts struct {
	Opened  atomic.Int64
	mu      sync.Mutex
	classes ClassCounts
}

// add counts one execution of a statement of a class.
func (c *Counts) add(class sql.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = ClassCounts{}
	}
	c.classes[class]++
}

// Report holds the numbers of the open connections by their state, and the
// counts since the server's start.
type Report struct {
	Open          int         `json:"open"`
	Active        int         `json:"active"`
	InTransaction int         `json:"in-transaction"`
	Idle          int         `json:"idle"`
	Bound         int         `json:"bound"`
	Silenced      int         `json:"silenced"`
	Opened        int64       `json:"opened"`
	Statements    ClassCounts `json:"statements"`
}

// Report returns the present numbers of connections and the counts.
func (s *Server) Report() Report {
	r := Report{Opened: s.counts.Opened.Load()}
	for _, c := range s.openSessions() {
		r.Open++
		switch c.activity.Load() {
		case activityStatement:
			r.Active++
		case activityTransaction:
			r.InTransaction++
		default:
			r.Idle++
		}
		if c.boundClaim() != 0 {
			r.Bound++
		}
		if c.conn.Silenced() {
			r.Silenced++
		}
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	r.Statements = maps.Clone(s.counts.classes)
	if r.Statements == nil {
		r.Statements = ClassCounts{}
	}
	return r
}
