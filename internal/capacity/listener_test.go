package capacity_test

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes and calls on accepted connections.
var traffic struct {
	bytesIn, bytesOut, reads, writes atomic.Uint64
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct{ net.Listener }

func listen() (countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return countingListener{l}, err
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c}, err
}

type countingConn struct{ net.Conn }

// Read reads and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	traffic.bytesIn.Add(uint64(n))
	traffic.reads.Add(1)
	return n, err
}

// Write writes and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	traffic.bytesOut.Add(uint64(n))
	traffic.writes.Add(1)
	return n, err
}
