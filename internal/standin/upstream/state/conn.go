package state

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Conn is a connection on which the faults in force act: what is read or
// written waits while the flow is blocked.
type Conn struct {
	net.Conn
	board   *Board
	blocked func(Faults) bool
	// ctx is done once the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	silence  sync.Once
	silenced chan struct{}
}

// errClosed is what a blocked flow returns when its connection is closed.
var errClosed = errors.New("connection closed")

// NewConn returns a connection that is subject to faults.
func (b *Board) NewConn(c net.Conn, blocked func(Faults) bool) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{Conn: c, board: b, blocked: blocked, ctx: ctx, cancel: cancel, silenced: make(chan struct{})}
}

// GroupBlocked reports whether faults block the flows between members.
func GroupBlocked(f Faults) bool { return f.Partition || f.Isolate || f.Freeze }

// CallerBlocked reports whether faults block the flows to callers.
func CallerBlocked(f Faults) bool { return f.Isolate || f.Freeze }

// Silence makes the connection carry nothing from now on, without closing it.
func (c *Conn) Silence() { c.silence.Do(func() { close(c.silenced) }) }

// Silenced reports whether the connection carries nothing any more.
func (c *Conn) Silenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read reads what has come once the flow isn't blocked. On a silenced
// connection it drops what comes until the other end closes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err := c.await(); err != nil {
			return 0, err
		}
		if err != nil || !c.Silenced() {
			return n, err
		}
	}
}

// Write writes once the flow isn't blocked. On a silenced connection what is
// written is lost.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	if c.Silenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *Conn) await() error {
	if err := c.board.AwaitFlow(c.ctx, c.blocked); err != nil {
		return errClosed
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
