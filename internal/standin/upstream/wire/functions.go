package wire

// Setting returns a setting's value, and whether it is known.
func (c *session) Setting(name string) (string, bool) {
	t := c.txn.Load()
	switch {
	case name == "in_hot_standby" && c.InRecovery():
		return "on", true
	case name == "transaction_read_only" && (c.InRecovery() || t != nil && t.ReadOnly()):
		return "on", true
	default:
		return c.settings.get(name)
	}
}

// SetSetting changes a setting.
func (c *session) SetSetting(name, value string, local bool) { c.settings.set(name, value, local) }

// User returns the user of the session's start-up message.
func (c *session) User() string { return c.user }

// ProcessID returns the session's id.
func (c *session) ProcessID() uint32 { return c.id }

// InRecovery reports whether the member is a replica.
func (c *session) InRecovery() bool { return !c.server.board.Primary() }
