// Package lineserver serves the members of a stand-in cluster over TCP with the
// published line protocol. It shares no code with the product's implementation of
// the protocol, so that a mistake there is detected.
package lineserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// maxLineBytes is the longest message.
const maxLineBytes = 1 << 20

// Serve answers connections to one member until the context ends.
func Serve(ctx context.Context, l net.Listener, k *cluster.Cluster, id chervilladder.UpstreamID) error {
	var open sync.WaitGroup
	defer open.Wait()
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
		open.Go(func() { serve(ctx, conn, k, id) })
	}
}

// peer is one connection.
type peer struct {
	net  net.Conn
	in   *bufio.Scanner
	conn *cluster.Conn
}

func serve(ctx context.Context, c net.Conn, k *cluster.Cluster, id chervilladder.UpstreamID) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	p := &peer{net: c, in: bufio.NewScanner(c)}
	p.in.Buffer(nil, maxLineBytes)
	if !p.connect(ctx, k, id) {
		return
	}
	defer p.conn.Close()
	defer context.AfterFunc(ctx, p.conn.Close)()
	go func() {
		<-p.conn.Broken()
		c.Close()
	}()
	for line := range p.lines() {
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r"), " ")
		if word != "QUERY" || !p.query(rest) {
			return
		}
	}
}

// lines returns the received messages. They are read while the member runs a
// statement, so that a connection closed by its caller ends that statement's wait.
func (p *peer) lines() <-chan string {
	list := make(chan string)
	go func() {
		defer close(list)
		defer p.conn.Close()
		for p.in.Scan() {
			select {
			case list <- p.in.Text():
			case <-p.conn.Broken():
				return
			}
		}
	}()
	return list
}

// connect reads and answers CONNECT.
func (p *peer) connect(ctx context.Context, k *cluster.Cluster, id chervilladder.UpstreamID) bool {
	if !p.in.Scan() {
		return false
	}
	f := strings.Fields(p.in.Text())
	if len(f) < 3 || f[0] != "CONNECT" {
		return p.write("ERROR MALFORMED expected CONNECT") && false
	}
	expected := ""
	if len(f) > 3 {
		expected = f[3]
	}
	conn, err := k.Connect(id, chervilladder.ServiceID(f[1]), chervilladder.UpstreamID(expected), ctx.Done())
	var refused *cluster.RefusedError
	if errors.As(err, &refused) {
		return p.write("ERROR "+errorWords[refused.Code]+" "+refused.Text) && false
	}
	if err != nil {
		return false
	}
	p.conn = conn
	return p.write("READY I " + mark(conn.Mark()))
}

func (p *peer) write(lines ...string) bool {
	_, err := p.net.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

// errorWords are the codes of ERROR lines.
var errorWords = map[chervilladder.Code]string{
	chervilladder.CodeBusy: "BUSY", chervilladder.CodeAborted: "ABORTED", chervilladder.CodeLagging: "LAGGING",
	chervilladder.CodeReadOnly: "READONLY", chervilladder.CodeWrongUpstream: "WRONGNODE",
	chervilladder.CodeConnectionLimit: "CONNLIMIT", chervilladder.CodeFailed: "EXECFAIL",
	chervilladder.CodeNoStatement: "NOSTMT", chervilladder.CodeMalformed: "MALFORMED",
}

func mark(m chervilladder.Mark) string { return fmt.Sprintf("%d.%d", m.Term, m.Position) }

// query answers one QUERY.
func (p *peer) query(text string) bool {
	c, err := parse(text)
	if err != nil {
		return p.write("ERROR MALFORMED "+err.Error()) && false
	}
	switch c.Kind {
	case chervilladder.CommandStatus, chervilladder.CommandPause, chervilladder.CommandResume, chervilladder.CommandStepDown:
		s, err := p.conn.Control(c)
		if err != nil {
			return false
		}
		role := "replica"
		if s.Primary {
			role = "primary"
		}
		row := fmt.Sprintf("ROW %s %d %s %d %d %d %d", role, s.Term, mark(s.Received), s.PauseTerm, s.Lag.Milliseconds(), s.Busy, s.Connections)
		return p.write(row, "COMPLETE -", "READY I "+mark(s.Received))
	}
	r, err := p.conn.Do(c)
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
	return p.write(append(lines, "READY "+state[r.State]+" "+mark(r.Mark))...)
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
