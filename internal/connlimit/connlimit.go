// Package connlimit bounds how many connections of a listener are open at once.
package connlimit

import (
	"container/list"
	"net"
	"sync"
)

// Config configures a Listener.
type Config struct {
	Listener net.Listener
	// Max returns how many connections may be open; zero means any number.
	Max func() int
	// CloseOldest makes a new connection beyond Max close the oldest one. Otherwise the
	// new one is closed.
	CloseOldest bool
}

// Listener is a listener that closes connections beyond a number:
//
//	l := connlimit.New(connlimit.Config{Listener: tcp, Max: func() int { return 64 }})
//	err := server.Serve(l)
type Listener struct {
	net.Listener
	c Config

	mu sync.Mutex
	// open holds the open connections, the oldest first.
	open list.List
}

// New returns a listener.
func New(c Config) *Listener { return &Listener{Listener: c.Listener, c: c} }

// Accept returns the next connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, oldest := l.add(accepted)
		if oldest != nil {
			_ = oldest.Close() // it may be closed already
		}
		if c != nil {
			return c, nil
		}
		accepted.Close()
	}
}

// add counts a connection. It returns nil if the connection is beyond the limit, and the
// connection that is to be closed in its place, if any.
func (l *Listener) add(accepted net.Conn) (c, oldest *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.c.Max()
	if limit > 0 && l.open.Len() >= limit {
		if !l.c.CloseOldest {
			return nil, nil
		}
		oldest = l.open.Front().Value.(*conn)
	}
	c = &conn{Conn: accepted, listener: l}
	c.place = l.open.PushBack(c)
	return c, oldest
}

// conn is a connection that is counted until it is closed.
type conn struct {
	net.Conn
	listener *Listener
	place    *list.Element
	once     sync.Once
}

// Close closes the connection and stops counting it.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open.Remove(c.place)
	})
	return err
}
