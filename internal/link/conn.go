// Package link keeps the pools of connections to upstreams that sessions share. For
// each connection it tracks which session variables and prepared statements are set up.
package link

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// Prepared is a prepared statement of a session.
type Prepared struct {
	// Shape is the statement's text, as the PREPARE gave it.
	Shape  string
	Access chervilladder.Access
}

// Name returns the statement's name at upstreams. It is the same for all sessions,
// so that they share the statements that a connection has prepared.
func (p Prepared) Name() string {
	mode := "w"
	if p.Access == chervilladder.AccessRead {
		mode = "r"
	}
	return mode + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// maxPrepared is how many statements a connection keeps prepared before it is reset.
const maxPrepared = 256

// Conn is a connection that matches answers to commands: it passes over answers that the
// upstream has repeated.
//
// It records the commands that SetupCommands returned as done. If one of them is refused,
// ForgetSetup must be called; after any other failure the connection must be discarded.
type Conn struct {
	link chervilladder.Link
	// pool is nil for a dedicated connection.
	pool *Pool
	// account is the client account that the connection was opened for.
	account chervilladder.AccountID
	// filter judges the answers. inDoubt is set once one of them may belong to another
	// command: then the connection isn't reused.
	filter   repeat.Filter
	inDoubt  bool
	values   map[string]string
	prepared map[string]Prepared
	// unknown is set while it isn't known what is set and prepared.
	unknown bool
	// returnedAt is when the connection was last returned to the pool, sessionUsedAt
	// when a session last returned it.
	returnedAt, sessionUsedAt time.Time
}

// SetupCommands returns the commands that set a session's variables and prepare one
// statement on the connection, as far as it lacks them.
func (c *Conn) SetupCommands(values map[string]string, statement *Prepared) []chervilladder.Command {
	var list []chervilladder.Command
	if c.unknown || c.hasOtherValues(values) || len(c.prepared) >= maxPrepared {
		list = append(list, chervilladder.Command{Kind: chervilladder.CommandReset})
		c.values, c.prepared, c.unknown = nil, nil, false
	}
	for name, value := range values {
		if have, ok := c.values[name]; !ok || have != value {
			list = append(list, chervilladder.Command{Kind: chervilladder.CommandSet, Name: name, Rest: value})
		}
	}
	if len(list) > 0 {
		c.values = maps.Clone(values)
	}
	return append(list, c.prepare(statement)...)
}

// ForgetSetup records that a command of SetupCommands was refused. The connection is
// reset before the next session uses it.
func (c *Conn) ForgetSetup() { c.unknown = true }

// prepare returns the command that prepares a statement. If two shapes have the same
// name, the later one replaces the earlier.
func (c *Conn) prepare(statement *Prepared) []chervilladder.Command {
	if statement == nil {
		return nil
	}
	name := statement.Name()
	if c.prepared[name] == *statement {
		return nil
	}
	if c.prepared == nil {
		c.prepared = make(map[string]Prepared)
	}
	c.prepared[name] = *statement
	return []chervilladder.Command{{
		Kind: chervilladder.CommandPrepare, Name: name, Access: statement.Access, Rest: statement.Shape,
	}}
}

// hasOtherValues reports whether the connection has a variable that a session lacks;
// only a reset unsets it.
func (c *Conn) hasOtherValues(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// Release returns the connection to its pool. It must be outside of a transaction and
// have no answer outstanding.
func (c *Conn) Release() {
	c.sessionUsedAt = time.Now()
	c.ReleaseAfterPoll()
}

// ReleaseAfterPoll is Release for a connection that did no work for a session, such as
// one that carried a status request.
func (c *Conn) ReleaseAfterPoll() {
	if c.pool == nil || c.inDoubt {
		c.Discard()
		return
	}
	c.pool.put(c)
}

// Discard closes the connection. An open transaction on it is rolled back.
func (c *Conn) Discard() {
	if c.pool == nil {
		c.link.Close()
		return
	}
	c.pool.discard(c)
}
