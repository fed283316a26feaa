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

// attempt is one operation of a caller and what it was told.
type attempt struct {
	kind string
	// ids are those of its statements; the writes among them are marked.
	ids    []string
	writes map[string]bool
	// asked is when its first byte was sent, answered when its last answer
	// came. minimum is what its session had been acknowledged before.
	asked, answered time.Time
	minimum         chervilladder.Mark
	// code is "ok", the last error, or "lost" if none came.
	code string
	// committing is set once a commit or a single-statement write was sent.
	committing bool
	mark       chervilladder.Mark
	// reads holds the signature and the row of each read that succeeded.
	reads map[string][2]string
	shape string
	value string
}

// promises are the codes after which nothing may be kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true}

// caller is one client; it keeps its connection until that ends.
type caller struct {
	w       *world
	number  int
	rng     *rand.Rand
	kind    string
	conn    net.Conn
	in      *bufio.Reader
	minimum chervilladder.Mark
	serial  int
	value   string
	done    []attempt
}

const callerTimeout = 4 * time.Second

// run makes attempts until stop is closed.
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
		c.done = append(c.done, a)
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
	c.conn, c.in, c.minimum = conn, bufio.NewReader(conn), chervilladder.Mark{}
	c.value = fmt.Sprintf("v%d-%d", c.number, c.rng.IntN(1000))
	if line, err := c.line(fmt.Sprintf("CONNECT %s c%d", c.kind, c.number)); err == nil && strings.HasPrefix(line, "READY") {
		if _, _, err := c.ask("SET who " + c.value); err == nil {
			if _, _, err := c.ask(fmt.Sprintf("PARSE s1 READ shape%d", c.number)); err == nil {
				return true
			}
		}
	}
	conn.Close()
	c.conn = nil
	return false
}

func (c *caller) line(send string) (string, error) {
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

// reply is a complete answer.
type reply struct {
	rows      []string
	signature string
	code      string
	state     string
	mark      chervilladder.Mark
}

var errCode = errors.New("an error was answered")

// ask runs a statement. The error is errCode if an error was answered.
func (c *caller) ask(text string) (string, reply, error) {
	c.serial++
	id := fmt.Sprintf("c%d-%d", c.number, c.serial)
	r := reply{code: "ok"}
	send := "QUERY " + id + " " + text
	for {
		line, err := c.line(send)
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
				return id, r, errCode
			}
			return id, r, nil
		}
	}
}

// attempt runs one operation: a read, a write, a prepared read or a
// transaction.
func (c *caller) attempt() attempt {
	a := attempt{
		kind: c.kind, asked: time.Now(), minimum: c.minimum, code: "ok", value: c.value,
		writes: make(map[string]bool), reads: make(map[string][2]string),
	}
	switch n := c.rng.IntN(10); {
	case n < 4:
		c.statement(&a, "READ 1a4")
	case n < 5:
		a.shape = fmt.Sprintf("shape%d", c.number)
		c.statement(&a, "EXECUTE s1 1a4")
	case n < 8:
		a.committing = true
		c.statement(&a, "WRITE 1a4 x")
	default:
		c.transaction(&a)
	}
	a.answered = time.Now()
	if a.code == "ok" && len(a.writes) > 0 {
		c.minimum = a.mark
	}
	return a
}

// statement runs one statement and notes how it ended.
func (c *caller) statement(a *attempt, text string) bool {
	id, r, err := c.ask(text)
	a.ids = append(a.ids, id)
	if strings.HasPrefix(text, "WRITE") {
		a.writes[id] = true
	}
	switch {
	case errors.Is(err, errCode):
		a.code = r.code
	case err != nil:
		a.code = "lost"
	default:
		a.mark = r.mark
		if len(r.rows) == 1 {
			a.reads[id] = [2]string{r.signature, r.rows[0]}
		}
	}
	if a.code != "ok" && a.code != "lost" && r.state != "I" {
		if _, r, err := c.ask("ROLLBACK"); err != nil || r.state != "I" {
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
	a.committing = true
	c.statement(a, "COMMIT")
}
