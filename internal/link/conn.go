// Package link keeps the connections to upstreams that many sessions share:
// each upstream's pool, and what every connection has been set up with.
package link

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// Prepared is a prepared statement of a session.
type Prepared struct {
	Shape  string
	Access chervilladder.Access
}

// Name returns the statement's name at upstreams. It is the same for all
// sessions, so that they share what a connection has prepared.
func (p Prepared) Name() string {
	mode := "w"
	if p.Access == chervilladder.AccessRead {
		mode = "r"
	}
	return mode + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// maxPrepared is how many statements a connection keeps prepared. Beyond that
// it is reset.
const maxPrepared = 256

// Conn is a pooled connection. What it has been set up with is only known from
// answers; a connection on which a set-up failed is of no more use.
type Conn struct {
	chervilladder.Link
	pool     *Pool
	values   map[string]string
	prepared map[string]Prepared
	// usedAt is when the connection last answered, workedAt when it was last
	// given back by a session.
	usedAt, workedAt time.Time
}

// Setup returns the commands that give the connection a session's values and
// one prepared statement, if it lacks them.
func (c *Conn) Setup(values map[string]string, need *Prepared) []chervilladder.Command {
	var list []chervilladder.Command
	if c.foreign(values) || len(c.prepared) >= maxPrepared {
		list = append(list, chervilladder.Command{Kind: chervilladder.CommandReset})
		c.values, c.prepared = nil, nil
	}
	for name, value := range values {
		if have, ok := c.values[name]; !ok || have != value {
			list = append(list, chervilladder.Command{Kind: chervilladder.CommandSet, Name: name, Rest: value})
		}
	}
	if len(list) > 0 {
		c.values = maps.Clone(values)
	}
	return append(list, c.prepare(need)...)
}

// prepare returns the command that prepares a statement. Should two shapes
// share a name, the later one replaces the earlier.
func (c *Conn) prepare(need *Prepared) []chervilladder.Command {
	if need == nil {
		return nil
	}
	name := need.Name()
	if c.prepared[name] == *need {
		return nil
	}
	if c.prepared == nil {
		c.prepared = make(map[string]Prepared)
	}
	c.prepared[name] = *need
	return []chervilladder.Command{{
		Kind: chervilladder.CommandPrepare, Name: name, Access: need.Access, Rest: need.Shape,
	}}
}

// foreign reports whether the connection has a value that a session lacks;
// only a reset takes it away.
func (c *Conn) foreign(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// Release gives the connection back to its pool. It must be outside of a
// transaction with nothing outstanding.
func (c *Conn) Release() {
	c.workedAt = time.Now()
	c.pool.put(c)
}

// ReleaseAsked is Release for a connection that did no work for a session.
func (c *Conn) ReleaseAsked() { c.pool.put(c) }

// Discard closes the connection. An open transaction on it is rolled back.
func (c *Conn) Discard() { c.pool.discard(c) }
