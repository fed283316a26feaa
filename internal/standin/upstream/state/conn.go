package state

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Conn is a connection that is subject to the faults in force: reads and writes
// wait while its traffic is blocked.
type Conn struct {
	net.Conn
	board   *Board
	blocked func(Faults) bool
	// ctx is done once the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	silence sync.Once
	// silenced is closed once the connection is silenced.
	silenced chan struct{}
}

// errClosed is returned by a read or write that is blocked when its connection
// is closed.
var errClosed = errors.New("connection closed")

// NewConn returns a connection on c whose traffic is blocked while blocked
// reports true for the faults in force.
func (b *Board) NewConn(c net.Conn, blocked func(Faults) bool) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{Conn: c, board: b, blocked: blocked, ctx: ctx, cancel: cancel, silenced: make(chan struct{})}
}

// GroupBlocked reports whether faults block the traffic between members.
func GroupBlocked(f Faults) bool { return f.Partition || f.Isolate || f.Freeze }

// CallersBlocked reports whether faults block the traffic to callers.
func CallersBlocked(f Faults) bool { return f.Isolate || f.Freeze }

// Silence makes the connection drop all further traffic without closing it.
func (c *Conn) Silence() { c.silence.Do(func() { close(c.silenced) }) }

// Silenced reports whether the connection is silenced.
func (c *Conn) Silenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read reads data once the traffic isn't blocked. On a silenced connection it
// drops the data until the other end closes the connection.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err := c.awaitTraffic(); err != nil {
			return 0, err
		}
		if err != nil || !c.Silenced() {
			return n, err
		}
	}
}

// Write writes data once the traffic isn't blocked. On a silenced connection
// the data is dropped.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.awaitTraffic(); err != nil {
		return 0, err
	}
	if c.Silenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *Conn) awaitTraffic() error {
	if err := c.board.AwaitUnblocked(c.ctx, c.blocked); err != nil {
		return errClosed
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
