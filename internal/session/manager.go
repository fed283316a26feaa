// Package session serves callers' sessions on connections that they share. It
// knows no protocol: a front end turns messages into commands, and links turn
// commands into messages.
package session

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// Config configures a Manager.
type Config struct {
	Board *blackboard.Board
	Pools *link.Pools
	Log   *logrus.Logger
	// Clock tells the VM's own time, by which evidence is dated.
	Clock func() time.Time
	// Remote passes work to VMs that host services which this one doesn't;
	// nil if there are none.
	Remote chervilladder.Remote
	// Observer is told of each command that has ended; nil means nobody.
	Observer Observer
}

// Observer is told of commands that have ended. It must not block.
type Observer interface {
	Ended(e Ended)
}

// Ended is a command that has ended, and what decided about it.
type Ended struct {
	Database chervilladder.DatabaseID
	Command  chervilladder.Command
	Priority chervilladder.Priority
	// Upstream answered last; empty if none did.
	Upstream chervilladder.UpstreamID
	// Host is the VM that it was passed to last; empty if it ran here.
	Host chervilladder.VMID
	// Tries counts how often the command was sent or meant to be.
	Tries int
	// Since is the mark that the upstream's log had to hold.
	Since  chervilladder.Mark
	Result chervilladder.Result
	// Took is the time from the command's arrival to its answer, Waited the
	// part of it before the last slot was granted.
	Took, Waited time.Duration
	// Term is that of the primary as it was believed.
	Term chervilladder.Term
}

// Manager opens sessions. It implements chervilladder.Sessions.
type Manager struct {
	c Config
	// shunned are the VMs that have given no answer, and when.
	shunned blackboard.Table[chervilladder.VMID, blackboard.Moment]
}

var _ chervilladder.Sessions = (*Manager)(nil)

// New returns a manager without sessions.
func New(c Config) (*Manager, error) {
	if c.Board == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("session: a manager needs a board, pools, a log and a clock")
	}
	return &Manager{c: c}, nil
}

// Open begins a session.
func (m *Manager) Open(db chervilladder.DatabaseID, caller string) (chervilladder.Session, error) {
	if _, err := m.route(db); err != nil {
		return nil, err
	}
	return &session{m: m, db: db, caller: caller}, nil
}

// route returns the route to a database as it is in force now.
func (m *Manager) route(db chervilladder.DatabaseID) (chervilladder.Route, error) {
	routing := m.c.Board.Routing.Load()
	if routing == nil {
		return chervilladder.Route{}, &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonDraining}
	}
	r, ok := routing.Routes[db]
	if !ok {
		return r, &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonUnknownDB}
	}
	return r, nil
}
