// Package session serves callers' sessions over shared connections. It is
// independent of the protocol: a front end decodes messages into commands, and
// links encode commands as messages.
package session

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/intake"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// part names this package in reports of panics.
const part recovery.Part = "session"

// Config configures a Manager.
type Config struct {
	Board *blackboard.Board
	Pools *link.Pools
	Log   *logrus.Logger
	// Clock returns the VM's own time, with which status observations are
	// timestamped.
	Clock func() time.Time
	// Remote forwards work to other VMs: that of services which they host and
	// this VM doesn't, and that of a service hosted here whose primary only a peer
	// reaches. It is nil if there are no other VMs.
	Remote chervilladder.Remote
	// Authenticator identifies callers by their keys. If it is nil, a caller's key only tells
	// callers apart.
	Authenticator chervilladder.Authenticator
	// Admitter admits the operations of client accounts; nil admits all.
	Admitter chervilladder.Admitter
	// Memory is the account in which large variables and prepared statements of
	// sessions are counted; nil is one without a limit.
	Memory *intake.Account
	// Observer is called after each command; may be nil.
	Observer Observer
}

// Observer receives each command once it has ended. It must not block.
type Observer interface {
	Ended(e Ended)
}

// Ended describes a command that has ended and how it was run.
type Ended struct {
	Database chervilladder.DatabaseID
	// Account is the caller's client account; empty if it has none, or if another VM
	// forwarded the command.
	Account  chervilladder.AccountID
	Command  chervilladder.Command
	Priority chervilladder.Priority
	// Upstream is the last member at which the command was placed, whether or not
	// it answered; empty if none was. For forwarded work, it is the one that the
	// other VM reports.
	Upstream chervilladder.UpstreamID
	// ForwardedTo is the VM that the command was last forwarded to; empty if it
	// ran here.
	ForwardedTo chervilladder.VMID
	// Left is why it was forwarded to another data centre; UpstreamElsewhere is set if
	// the upstream is in another one.
	Left              LeaveReason
	UpstreamElsewhere bool
	// Attempts counts the attempts, including those that ended before the command
	// was sent. Of a hedged read, only those that led to the returned result are
	// counted.
	Attempts int
	// MinMark is the minimum log position that the upstream had to hold. Its log key is
	// since, although it is not a time.
	MinMark chervilladder.Mark
	Result  chervilladder.Result
	// Took is the time from the command's arrival to its answer. Waited is the time
	// from its arrival until the last slot was granted; zero if it was forwarded.
	Took, Waited time.Duration
	// Term is that of the primary in this VM's view of the cluster.
	Term chervilladder.Term
}

// Manager opens sessions. It implements chervilladder.Sessions.
type Manager struct {
	c Config
}

var _ chervilladder.Sessions = (*Manager)(nil)

// New returns a manager. Board, Pools, Log and Clock must be set.
func New(c Config) (*Manager, error) {
	if c.Board == nil || c.Pools == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("session: a manager needs Board, Pools, Log and Clock; set all four")
	}
	if c.Memory == nil {
		c.Memory = intake.NewAccount()
	}
	return &Manager{c: c}, nil
}

// Open begins a session.
func (m *Manager) Open(db chervilladder.DatabaseID, key chervilladder.Key) (chervilladder.Session, error) {
	route, err := m.route(db)
	if err != nil {
		return nil, err
	}
	s := &session{m: m, db: db, key: key}
	if err := s.authenticate(route); err != nil {
		return nil, err
	}
	if err := s.checkTaken(route.UsualTime()); err != nil {
		return nil, err
	}
	return s, nil
}

// route returns the route to a database in the current configuration.
func (m *Manager) route(db chervilladder.DatabaseID) (chervilladder.Route, error) {
	routing := m.c.Board.Routing.Load()
	if routing == nil {
		// This VM has received no configuration yet. As when it shuts down, it
		// takes no work, and the caller should try another VM.
		return chervilladder.Route{}, &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonDraining}
	}
	r, ok := routing.Routes[db]
	if !ok {
		return r, &chervilladder.NotRunError{Database: db, Reason: chervilladder.ReasonUnknownDB}
	}
	return r, nil
}
