package link

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Send writes commands in one batch.
func (c *Conn) Send(deadline time.Time, commands ...chervilladder.Command) error {
	return c.link.Send(deadline, commands...)
}

// Receive returns the complete answer to the next command. Its error is an
// *UpstreamLostError.
func (c *Conn) Receive(deadline time.Time) (chervilladder.Result, error) {
	return c.link.Receive(deadline)
}

// Status sends a command that the upstream answers with its status: CommandStatus,
// CommandPause, CommandResume or CommandStepDown.
func (c *Conn) Status(deadline time.Time, command chervilladder.Command) (chervilladder.LinkStatus, error) {
	if err := c.Send(deadline, command); err != nil {
		return chervilladder.LinkStatus{}, err
	}
	r, err := c.Receive(deadline)
	if err != nil {
		return chervilladder.LinkStatus{}, err
	}
	return c.link.DecodeStatus(r)
}
