package lab

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 5 * time.Second

// ids makes the ids of queries unique.
var ids atomic.Uint64

// NextID returns a new id of a query.
func NextID() string { return fmt.Sprintf("%016x", 0xabc0000000000000+ids.Add(1)) }

// Client is a client's session. Its zero answer is a connection that ended.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Answer is the answer to a query or to CONNECT.
type Answer struct {
	Rows []string
	// Last is the COMPLETE or ERROR message; for CONNECT the READY or ERROR message.
	// It is empty if the connection ended without one.
	Last string
	// Ready is the READY message that ends the answer to a query.
	Ready string
}

// Failed reports whether the answer is an error with a code.
func (a Answer) Failed(code string) bool {
	word, rest, _ := strings.Cut(a.Last, " ")
	got, _, _ := strings.Cut(rest, " ")
	return word == "ERROR" && got == code
}

// OK reports whether the answer is a success.
func (a Answer) OK() bool {
	return strings.HasPrefix(a.Last, "COMPLETE") || strings.HasPrefix(a.Last, "READY")
}

// Dial opens a session at a VM, and records it.
func Dial(v *VM, database, who string) (*Client, Answer) {
	c, a := DialQuietly(v, database, who)
	v.w.Record.Notef("client of %s: CONNECT %s %s -> %q", v.Name, database, who, a.Last)
	return c, a
}

// DialQuietly opens a session at a VM.
func DialQuietly(v *VM, database, who string) (*Client, Answer) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(v.IP, strconv.Itoa(frontPort)), time.Second)
	if err != nil {
		return nil, Answer{}
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	a := Answer{Last: c.roundTrip("CONNECT " + database + " " + who)}
	if !a.OK() {
		c.Close()
		return nil, a
	}
	return c, a
}

// Query sends a query and returns its answer.
func (c *Client) Query(id, text string) Answer {
	var a Answer
	for line := c.roundTrip("QUERY " + id + " " + text); line != ""; line = c.read() {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "READY":
			a.Ready = line
			return a
		default:
			a.Last = line
		}
	}
	return Answer{Rows: a.Rows, Last: a.Last}
}

func (c *Client) roundTrip(message string) string {
	if _, err := c.conn.Write([]byte(message + "\r\n")); err != nil {
		return ""
	}
	return c.read()
}

func (c *Client) read() string {
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout)) // a read of a closed connection fails
	line, err := c.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(line, "\r\n")
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }
