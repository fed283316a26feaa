// Package upstream runs work at the members of a database's group: its primary and
// replicas. One VM owns each group; package session serves the clusters, which have no
// owner. Package upstream holds the client side of the PostgreSQL protocol, the pools of
// connections, and the Executor, which queues work, retries it, and proves that its
// primary was not replaced before it returns an answer.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

const readBufferBytes = 16 << 10

const protocolVersion30 = 3 << 16

// ResponseError is an error response of an upstream.
type ResponseError struct {
	Upstream chervilladder.UpstreamID
	Code     string
	Message  string
	Detail   string
}

// Error returns the upstream's message and SQLSTATE.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("upstream %s: %s (SQLSTATE %s)", e.Upstream, e.Message, e.Code)
}

// Conn is one connection to an upstream. It is used by one goroutine at a
// time.
type Conn struct {
	upstream chervilladder.Upstream
	conn     net.Conn
	reader   *bufio.Reader
	process  uint32
	secret   []byte

	requests answer.Sequence
	// unnumbered is set if the upstream doesn't return the number of a marker. Its
	// requests have none then.
	unnumbered bool
	// markerLeft lists the types of the messages that are still to come of the answer to
	// the last request's marker.
	markerLeft string

	claim    chervilladder.Claim
	prepared map[string]bool
	settings []chervilladder.Setting
	// settingsChanged is set once a caller's statement may have set parameters
	// that settings doesn't list.
	settingsChanged bool
	// parsing lists the statements that the connection prepares by Parse messages of
	// its own, sent before the running batch, whose ParseComplete has not arrived.
	parsing []string
	// completion is a CommandComplete message that is kept back, as it may end the
	// answer.
	completion []byte
	scratch    []byte
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// transaction is the id of the transaction that the running batch is to commit,
	// if it was queried.
	transaction chervilladder.TransactionID
	// readBuffer is the memory for the message that is read.
	readBuffer []byte
	opened     time.Time
	// cancelled is set once a cancel request was sent for the connection.
	cancelled bool
}

// The users of connections to upstreams. The control user's connections are reserved,
// so that an upstream at its connection limit still answers status requests.
const (
	workUser    = "chervilladder"
	controlUser = "chervilladder-control"
)

// Dial opens a connection to an upstream for work and starts a session on it.
func Dial(ctx context.Context, u chervilladder.Upstream) (*Conn, error) {
	return dial(ctx, u, workUser)
}

func dial(ctx context.Context, u chervilladder.Upstream, user string) (*Conn, error) {
	nc, err := dialPlain(ctx, u.Address)
	if err != nil {
		return nil, &chervilladder.UpstreamLostError{Upstream: u.ID, Err: err}
	}
	c := newConn(u, nc)
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err = c.startUp(user)
	if err == nil {
		err = c.detectNumbering()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// keepAlive lets the kernel detect connections that the other end no longer has.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

func newConn(u chervilladder.Upstream, nc net.Conn) *Conn {
	return &Conn{
		upstream: u,
		conn:     nc,
		reader:   bufio.NewReaderSize(nc, readBufferBytes),
		prepared: make(map[string]bool),
		opened:   time.Now(),
	}
}

func dialPlain(ctx context.Context, a chervilladder.Address) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", string(a))
}

// Close ends the connection.
func (c *Conn) Close() {
	c.conn.Close()
}

// Upstream returns the id of the member that the connection is to.
func (c *Conn) Upstream() chervilladder.UpstreamID {
	return c.upstream.ID
}

func (c *Conn) startUp(user string) error {
	start := pgproto3.StartupMessage{
		ProtocolVersion: protocolVersion30,
		Parameters: map[string]string{
			"user":             user,
			"database":         string(c.upstream.Database),
			"application_name": "chervilladder",
		},
	}
	out, err := start.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode start-up message: %w", err)
	}
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(false, err)
	}
	for {
		m, err := c.readMessage(nil)
		if err != nil {
			return c.lost(false, err)
		}
		done, err := c.startUpStep(m)
		if done || err != nil {
			return err
		}
	}
}

func (c *Conn) startUpStep(m []byte) (done bool, err error) {
	body := m[headerBytes:]
	switch m[0] {
	case 'R':
		if len(body) < 4 || body[3] != 0 {
			return false, fmt.Errorf("upstream %s: requires authentication, which is not supported", c.upstream.ID)
		}
	case 'E':
		return false, c.responseError(body)
	case 'K':
		var key pgproto3.BackendKeyData
		if err := key.Decode(body); err != nil {
			return false, fmt.Errorf("upstream %s: key data: %w", c.upstream.ID, err)
		}
		c.process = key.ProcessID
		c.secret = append([]byte(nil), key.SecretKey...)
	case 'Z':
		return true, nil
	}
	return false, nil
}

func (c *Conn) responseError(body []byte) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(body); err != nil {
		return fmt.Errorf("upstream %s: malformed error: %w", c.upstream.ID, err)
	}
	return &ResponseError{Upstream: c.upstream.ID, Code: e.Code, Message: e.Message, Detail: e.Detail}
}

func (c *Conn) lost(sent bool, err error) error {
	return &chervilladder.UpstreamLostError{Upstream: c.upstream.ID, Sent: sent, Err: err}
}
