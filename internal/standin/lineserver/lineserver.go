// Package lineserver serves the members of a stand-in cluster over TCP with the
// line protocol that package platform speaks. It shares no code with the product's implementation of
// the protocol, so that a mistake there is detected.
package lineserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// maxLineBytes is the longest message, without the CR LF that ends it.
const maxLineBytes = 1 << 20

const crlf = "\r\n"

// Serve answers connections to one member until the context ends.
func Serve(ctx context.Context, l net.Listener, k *cluster.Cluster, id chervilladder.UpstreamID) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line server: %w", err)
		}
		connections.Go(func() { serve(ctx, conn, k, id) })
	}
}

// session is one connection.
type session struct {
	net  net.Conn
	in   *bufio.Scanner
	conn *cluster.Conn
}

func serve(ctx context.Context, c net.Conn, k *cluster.Cluster, id chervilladder.UpstreamID) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	sess := &session{net: c, in: newScanner(c)}
	if !sess.connect(ctx, k, id) {
		return
	}
	defer sess.conn.Close()
	defer context.AfterFunc(ctx, sess.conn.Close)()
	go func() {
		<-sess.conn.Broken()
		c.Close()
	}()
	for line := range sess.lines() {
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" || !sess.query(rest) {
			return
		}
	}
}

// newScanner returns a scanner of messages.
func newScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes+len(crlf))
	s.Split(splitMessage)
	return s
}

// splitMessage is a bufio.SplitFunc. Only CR LF ends a message: its last field may hold
// either byte alone.
func splitMessage(data []byte, atEOF bool) (advance int, message []byte, err error) {
	if end := bytes.Index(data, []byte(crlf)); end >= 0 {
		return end + len(crlf), data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil // an unfinished message is ignored
	}
	return 0, nil, nil
}

// lines returns the received messages. A goroutine reads them even while a statement
// runs, so that the statement stops waiting once its caller has closed the connection.
func (sess *session) lines() <-chan string {
	list := make(chan string)
	go func() {
		defer close(list)
		defer sess.conn.Close()
		for sess.in.Scan() {
			select {
			case list <- sess.in.Text():
			case <-sess.conn.Broken():
				return
			}
		}
	}()
	return list
}

// connect reads and answers CONNECT.
func (sess *session) connect(ctx context.Context, k *cluster.Cluster, id chervilladder.UpstreamID) bool {
	if !sess.in.Scan() {
		return false
	}
	f := strings.Fields(sess.in.Text())
	if len(f) < 3 || f[0] != "CONNECT" {
		return sess.write("ERROR MALFORMED expected CONNECT") && false
	}
	expected := ""
	if len(f) > 3 {
		expected = f[3]
	}
	conn, err := k.Connect(id, chervilladder.ServiceID(f[1]), chervilladder.UpstreamID(expected), ctx.Done())
	var refused *cluster.RefusedError
	if errors.As(err, &refused) {
		return sess.write("ERROR "+errorWords[refused.Code]+" "+refused.Text) && false
	}
	if err != nil {
		return false
	}
	conn.SetPeer(f[2])
	sess.conn = conn
	return sess.write("READY I " + mark(conn.Mark()))
}

// write writes the lines at once, so that no other answer comes between them.
func (sess *session) write(lines ...string) bool {
	_, err := sess.net.Write([]byte(strings.Join(lines, crlf) + crlf))
	return err == nil
}

// errorWords maps codes to the words of ERROR lines.
var errorWords = map[chervilladder.Code]string{
	chervilladder.CodeBusy: "BUSY", chervilladder.CodeAborted: "ABORTED", chervilladder.CodeLagging: "LAGGING",
	chervilladder.CodeReadOnly: "READONLY", chervilladder.CodeWrongUpstream: "WRONGNODE",
	chervilladder.CodeConnectionLimit: "CONNLIMIT", chervilladder.CodeFailed: "EXECFAIL",
	chervilladder.CodeNoStatement: "NOSTMT", chervilladder.CodeMalformed: "MALFORMED",
}

func mark(m chervilladder.Mark) string { return fmt.Sprintf("%d.%d", m.Term, m.Position) }

// query answers one QUERY.
func (sess *session) query(text string) bool {
	c, err := parse(text)
	if err != nil {
		return sess.write("ERROR MALFORMED "+err.Error()) && false
	}
	switch c.Kind {
	case chervilladder.CommandStatus, chervilladder.CommandPause, chervilladder.CommandResume, chervilladder.CommandStepDown:
		s, err := sess.conn.Control(c)
		if err != nil {
			return false
		}
		role := "replica"
		if s.Primary {
			role = "primary"
		}
		row := fmt.Sprintf("ROW %s %d %s %d %d %d %d", role, s.Term, mark(s.Received), s.PauseTerm, s.Lag.Milliseconds(), s.Busy, s.Connections)
		return sess.answer(c, chervilladder.CodeNone, row, "COMPLETE -", "READY I "+mark(s.Received))
	}
	r, err := sess.conn.Do(c)
	if err != nil {
		return false
	}
	var lines []string
	for _, row := range r.Rows {
		lines = append(lines, "ROW "+row)
	}
	if r.Code == chervilladder.CodeNone {
		lines = append(lines, "COMPLETE "+string(r.Signature))
	} else {
		lines = append(lines, "ERROR "+errorWords[r.Code]+" "+r.Text)
	}
	state := map[chervilladder.TransactionState]string{chervilladder.StateIdle: "I", chervilladder.StateOpen: "T", chervilladder.StateFailed: "E"}
	return sess.answer(c, r.Code, append(lines, "READY "+state[r.State]+" "+mark(r.Mark))...)
}

// answer writes the answer to a command, and again later if it is repeated.
func (sess *session) answer(c chervilladder.Command, code chervilladder.Code, lines ...string) bool {
	if !sess.write(lines...) {
		return false
	}
	sess.conn.RepeatLater(c, code, func() { sess.write(lines...) })
	return true
}

// parse parses the id and text of a QUERY.
func parse(query string) (chervilladder.Command, error) {
	id, text, _ := strings.Cut(query, " ")
	c := chervilladder.Command{ID: chervilladder.CommandID(id)}
	if since, ok := strings.CutPrefix(text, "SINCE "); ok {
		var at string
		at, text, _ = strings.Cut(since, " ")
		term, number, _ := strings.Cut(at, ".")
		t, err1 := strconv.ParseUint(term, 10, 64)
		n, err2 := strconv.ParseUint(number, 10, 64)
		if err1 != nil || err2 != nil {
			return c, errors.New("SINCE needs a position")
		}
		c.Since = chervilladder.Mark{Term: chervilladder.Term(t), Position: chervilladder.Position(n)}
	}
	word, rest, _ := strings.Cut(text, " ")
	kind, ok := kinds[word]
	if !ok {
		return c, fmt.Errorf("unknown statement %q", word)
	}
	c.Kind = kind
	switch kind {
	case chervilladder.CommandBegin:
		if rest == "READ" {
			c.Kind = chervilladder.CommandBeginRead
		}
	case chervilladder.CommandPause, chervilladder.CommandStepDown:
		t, err := strconv.ParseUint(rest, 10, 64)
		c.Term = chervilladder.Term(t)
		return c, err
	case chervilladder.CommandSet, chervilladder.CommandExecute, chervilladder.CommandDeallocate:
		c.Name, c.Rest, _ = strings.Cut(rest, " ")
	case chervilladder.CommandPrepare:
		var mode string
		c.Name, rest, _ = strings.Cut(rest, " ")
		mode, c.Rest, _ = strings.Cut(rest, " ")
		if mode == "READ" {
			c.Access = chervilladder.AccessRead
		}
	default:
		c.Rest = rest
	}
	return c, nil
}

var kinds = map[string]chervilladder.CommandKind{
	"BEGIN": chervilladder.CommandBegin, "COMMIT": chervilladder.CommandCommit, "ROLLBACK": chervilladder.CommandRollback,
	"READ": chervilladder.CommandRead, "WRITE": chervilladder.CommandWrite, "SET": chervilladder.CommandSet,
	"PARSE": chervilladder.CommandPrepare, "EXECUTE": chervilladder.CommandExecute, "CLOSE": chervilladder.CommandDeallocate,
	"RESET": chervilladder.CommandReset, "STATUS": chervilladder.CommandStatus, "PAUSE": chervilladder.CommandPause,
	"RESUME": chervilladder.CommandResume, "STEPDOWN": chervilladder.CommandStepDown,
}
