// Package standin holds the interfaces between the parts of the stand-ins. The
// packages in its subdirectories implement them.
package standin

import "github.com/chervilladder/chervilladder"

// Sessions are the callers' connections to a member, as package upstream/group uses
// them.
type Sessions interface {
	// EndBelow ends the connections that were opened under a lower claim, and returns
	// once their transactions have been rolled back.
	EndBelow(claim chervilladder.Claim, holder chervilladder.VMID)
	// OpenCount returns the number of open connections.
	OpenCount() int
}

// FunctionSession is the session that calls an SQL function.
type FunctionSession interface {
	// Setting returns the value of a setting, and whether it exists.
	Setting(name string) (string, bool)
	// SetSetting changes a setting; if local is set, only until the end of the
	// transaction.
	SetSetting(name, value string, local bool)
	// User returns the role that the session authenticated as.
	User() string
	// ProcessID returns the id that pg_backend_pid returns in the session.
	ProcessID() uint32
	// InRecovery reports whether the member is a replica.
	InRecovery() bool
}
