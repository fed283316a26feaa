package soak_test

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// attempt is one operation of a caller and its outcome.
type attempt struct {
	// database is one of databases: it determines the consistency of reads.
	database string
	// service is the number of its service.
	service int
	// ids are the ids of its statements; writes holds those that are writes.
	ids    []string
	writes map[string]bool
	// sent is when the operation began, answered when its last answer arrived.
	sent, answered time.Time
	// lastWrite is the session's last acknowledged write before the operation.
	lastWrite chervilladder.Mark
	// code is "ok", the last error code, or "lost" if the connection ended
	// without an answer.
	code string
	// commitSent is set once a COMMIT or an autocommit write was sent.
	commitSent bool
	mark       chervilladder.Mark
	// answers are those to its statements that succeeded, by the statements' ids.
	answers map[string]statementAnswer
	// preparedText is the text of the prepared statement, if one was executed.
	preparedText string
	// who is the value of the session variable "who".
	who string
}

// statementAnswer is the answer to a statement that succeeded.
type statementAnswer struct {
	text, signature string
	rows            []string
}

// notCommitted are the codes which guarantee that nothing was committed.
var notCommitted = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true}

// caller runs operations over one connection and reconnects when it is lost.
type caller struct {
	w         *world
	number    int
	rng       *rand.Rand
	database  string
	service   int
	conn      net.Conn
	in        *bufio.Reader
	lastWrite chervilladder.Mark
	serial    int
	who       string
	attempts  []attempt
}

const callerTimeout = 4 * time.Second

// run runs operations until stop is closed.
func (c *caller) run(stop <-chan struct{}, ended *sync.WaitGroup) {
	defer ended.Done()
	for {
		select {
		case <-stop:
			if c.conn != nil {
				c.conn.Close()
			}
			return
		case <-time.After(time.Duration(c.rng.IntN(30)) * time.Millisecond):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		a := c.attempt()
		c.attempts = append(c.attempts, a)
		if a.code == "lost" {
			c.conn.Close()
			c.conn = nil
		}
	}
}

func (c *caller) connect() bool {
	v := c.w.vms[c.rng.IntN(len(c.w.vms))]
	conn, err := net.DialTimeout("tcp", v.ip+":7001", time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.lastWrite = conn, bufio.NewReader(conn), chervilladder.Mark{}
	c.who = fmt.Sprintf("v%d-%d", c.number, c.rng.IntN(1000))
	if line, err := c.exchange(fmt.Sprintf("CONNECT %s c%d", host(c.database, c.service), c.number)); err == nil && strings.HasPrefix(line, "READY") {
		if _, _, err := c.query("SET who " + c.who); err == nil {
			if _, _, err := c.query(fmt.Sprintf("PARSE s1 READ shape%d", c.number)); err == nil {
				return true
			}
		}
	}
	conn.Close()
	c.conn = nil
	return false
}

// exchange sends a line, if there is one, and returns the next line received.
func (c *caller) exchange(send string) (string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return "", err
	}
	if send != "" {
		if _, err := fmt.Fprintf(c.conn, "%s\r\n", send); err != nil {
			return "", err
		}
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// reply is the complete answer to a statement.
type reply struct {
	rows      []string
	signature string
	code      string
	state     string
	mark      chervilladder.Mark
}

var errAnswered = errors.New("the statement was answered with an error")

// query runs a statement and returns its id. The error is errAnswered if the
// answer was an error.
func (c *caller) query(text string) (string, reply, error) {
	c.serial++
	id := fmt.Sprintf("c%d-%d", c.number, c.serial)
	r := reply{code: "ok"}
	send := "QUERY " + id + " " + text
	for {
		line, err := c.exchange(send)
		if err != nil {
			return id, r, err
		}
		send = ""
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			var at string
			r.state, at, _ = strings.Cut(rest, " ")
			if at != "-" {
				if _, err := fmt.Sscanf(at, "%d.%d", &r.mark.Term, &r.mark.Position); err != nil {
					return id, r, err
				}
			}
			if r.code != "ok" {
				return id, r, errAnswered
			}
			return id, r, nil
		}
	}
}

// attempt runs one operation: a read, a write, a prepared read or a transaction. The
// argument 1a4 of the statements has no meaning: the proxy passes it on unread, and the
// stand-in repeats it in the row that a read returns.
func (c *caller) attempt() attempt {
	a := attempt{
		database: c.database, service: c.service, sent: time.Now(), lastWrite: c.lastWrite, code: "ok", who: c.who,
		writes: make(map[string]bool), answers: make(map[string]statementAnswer),
	}
	switch n := c.rng.IntN(10); {
	case n < 4:
		c.statement(&a, "READ 1a4")
	case n < 5:
		a.preparedText = fmt.Sprintf("shape%d", c.number)
		c.statement(&a, "EXECUTE s1 1a4")
	case n < 8:
		a.commitSent = true
		c.statement(&a, "WRITE 1a4 x")
	default:
		c.transaction(&a)
	}
	a.answered = time.Now()
	if a.code == "ok" && len(a.writes) > 0 {
		c.lastWrite = a.mark
	}
	return a
}

// statement runs one statement, records its outcome in a, and reports success.
func (c *caller) statement(a *attempt, text string) bool {
	id, r, err := c.query(text)
	a.ids = append(a.ids, id)
	if strings.HasPrefix(text, "WRITE") {
		a.writes[id] = true
	}
	switch {
	case errors.Is(err, errAnswered):
		a.code = r.code
	case err != nil:
		a.code = "lost"
	default:
		a.mark = r.mark
		a.answers[id] = statementAnswer{text: text, signature: r.signature, rows: r.rows}
	}
	if a.code != "ok" && a.code != "lost" && r.state != "I" {
		if _, r, err := c.query("ROLLBACK"); err != nil || r.state != "I" {
			c.conn.Close()
		}
	}
	return a.code == "ok"
}

func (c *caller) transaction(a *attempt) {
	if !c.statement(a, "BEGIN") {
		return
	}
	for range 1 + c.rng.IntN(4) {
		text := "READ 1a4"
		if c.rng.IntN(2) == 0 {
			text = "WRITE 1a4 t"
		}
		if !c.statement(a, text) {
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
	}
	a.commitSent = true
	c.statement(a, "COMMIT")
}
