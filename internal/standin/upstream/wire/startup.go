package wire

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/pgerror"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// maxMessageBytes is the maximum length of a caller's message.
const maxMessageBytes = 16 << 20

// encryptionRefused is the answer to a request for encryption.
var encryptionRefused = []byte{'N'}

// start performs the start-up of a connection. It returns false when the
// connection has to end.
func (c *session) start() bool {
	m, err := c.startupMessage()
	if err != nil {
		return false
	}
	if cancel, ok := m.(*pgproto3.CancelRequest); ok {
		c.server.cancel(cancel.ProcessID, cancel.SecretKey)
		return false
	}
	startup, ok := m.(*pgproto3.StartupMessage)
	if !ok {
		return false
	}
	c.applyStartup(startup)
	if err := c.server.admit(c); err != nil {
		c.sendError(err)
		_ = c.backend.Flush()
		return false
	}
	if state.Sleep(c.ctx, c.server.board.Settings.Load().ConnectDelay) != nil {
		return false
	}
	c.sendStartupReply()
	return c.backend.Flush() == nil
}

// startupMessage reads the first message that isn't a request for encryption.
func (c *session) startupMessage() (pgproto3.FrontendMessage, error) {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write(encryptionRefused); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
}

// applyStartup takes the user and the settings from the start-up message.
func (c *session) applyStartup(m *pgproto3.StartupMessage) {
	c.settings = newSettings()
	for name, value := range m.Parameters {
		switch name {
		case "user":
			c.user = value
			c.settings.start("session_authorization", value)
		case "database", "options", "replication":
		default:
			c.settings.start(name, value)
		}
	}
}

func (c *session) sendStartupReply() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.sendReady()
}

// receiveError returns the error that reports an invalid message to the caller.
func receiveError(err error) *pgerror.Error {
	var long *pgproto3.ExceededMaxBodyLenErr
	e := pgerror.New(pgerror.ProtocolViolation, "invalid message: %v", err)
	if errors.As(err, &long) {
		e.Message = "message is too long"
	}
	e.Fatal = true
	return e
}
