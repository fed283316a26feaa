package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// connectMessage opens a session.
const connectMessage = "CONNECT " + database + " crowd\r\n"

// crowd is callers that stay connected until the end of the test, unless a VM closes
// their connections.
type crowd struct {
	t     *testing.T
	conns []net.Conn
}

// connect opens connections to a port of a VM.
func connect(t *testing.T, v *vm, port string, count int) *crowd {
	t.Helper()
	c := &crowd{t: t}
	for range count {
		conn, err := net.DialTimeout("tcp", v.ip+":"+port, time.Second)
		if err != nil {
			continue // the VM accepts no more
		}
		t.Cleanup(func() { conn.Close() })
		c.conns = append(c.conns, conn)
	}
	return c
}

const (
	callerPort    = "7001"
	readinessPort = "7002"
	peerPort      = "7010"
	metricsPort   = "9464"
)

// writeLimit bounds how long a caller goes on with what it sends: a VM need not read it.
const writeLimit = 4 * time.Second

// each runs f for all callers at once and waits for them. An error of a write or a read
// is no failure: a VM may close the connection of such a caller.
func (c *crowd) each(f func(i int, conn net.Conn)) {
	var ended sync.WaitGroup
	for i, conn := range c.conns {
		_ = conn.SetDeadline(time.Now().Add(writeLimit)) // fails on a closed connection only
		ended.Go(func() { f(i, conn) })
	}
	ended.Wait()
}

// settleTime is how long a silent crowd stays before the check, so that the VM has come to
// accept it.
const settleTime = time.Second

func (c *crowd) settle() { time.Sleep(settleTime) }

// send has all callers send the same text.
func (c *crowd) send(parts ...string) {
	text := strings.Join(parts, "")
	c.each(func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, text) })
}

// text returns an argument of a statement with the given length.
func text(length int) string { return strings.Repeat("x", length) }

// largestWrite and largestRead are statements of the largest legal size. A read returns
// its argument in a row of nearly that size.
func largestWrite(id string) string {
	start := "QUERY " + id + " WRITE 1a4 "
	return start + text(maxMessageBytes-len(start)) + "\r\n"
}

func largestRead(id string) string {
	start := "QUERY " + id + " READ "
	return start + text(maxMessageBytes-len(start)-100) + "\r\n"
}

// awaitClosed waits until the VM holds no more descriptors than it does without callers.
func (v *vm) awaitClosed(atRest int) {
	v.t.Helper()
	const margin = 20 // links to upstreams, the store and peers come and go
	v.await(fmt.Sprintf("the descriptors are back at %d", atRest), func() bool { return v.descriptors() <= atRest+margin })
}
