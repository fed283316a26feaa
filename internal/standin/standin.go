// Package standin holds the interfaces through which the parts of the
// stand-ins meet where their behaviour may vary. The implementations lie in
// the packages below.
package standin

import "github.com/chervilladder/chervilladder"

// Sessions is what the keeper of a member's standing asks of those who serve
// callers.
type Sessions interface {
	// EndBelow ends the connections that are bound to lower claims, and
	// returns once their transactions are rolled back.
	EndBelow(claim chervilladder.Claim, holder chervilladder.VMID)
	// Open returns how many connections there are.
	Open() int
}

// Caller is what the functions of SQL ask of the session that calls them.
type Caller interface {
	// Setting returns a setting's value, and whether it is known.
	Setting(name string) (string, bool)
	// SetSetting changes a setting.
	SetSetting(name, value string, local bool)
	// User returns the role that the session signed in with.
	User() string
	// ProcessID returns the number of the session.
	ProcessID() uint32
	// InRecovery reports whether the member is a replica.
	InRecovery() bool
}
