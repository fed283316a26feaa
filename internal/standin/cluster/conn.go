package cluster

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
)

// ErrBroken reports that the connection is closed and no answer will arrive.
var ErrBroken = errors.New("cluster: connection broken")

// RefusedError reports that the member rejected a connection.
type RefusedError struct {
	Code chervilladder.Code
	Text string
}

// Error returns the member's message.
func (e *RefusedError) Error() string { return e.Text }

// Conn is a connection to a member. It runs one command at a time.
type Conn struct {
	cluster *Cluster
	m       *member
	number  uint64
	// broken is closed with the connection.
	broken   chan struct{}
	values   map[string]string
	prepared map[string]chervilladder.Command
	tx       *transaction
	peer     string
}

type transaction struct {
	number   uint64
	readOnly bool
	failed   bool
	term     chervilladder.Term
	writes   []chervilladder.Command
}

// Connect opens a connection to a member. The error is a *RefusedError, or
// ErrBroken if the member is down. With a silent member it waits until the
// member is no longer silent or quit is closed.
func (k *Cluster) Connect(id chervilladder.UpstreamID, service chervilladder.ServiceID, expectedID chervilladder.UpstreamID, quit <-chan struct{}) (*Conn, error) {
	select {
	case <-time.After(k.config.ConnectTime):
	case <-quit:
		return nil, ErrBroken
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		m, ok := k.members[id]
		switch {
		case !ok || m.faults.Down:
			return nil, ErrBroken
		case m.faults.Silent:
			if !k.wait(quit) {
				return nil, ErrBroken
			}
			continue
		case service != k.config.Service || expectedID != "" && expectedID != id:
			return nil, &RefusedError{Code: chervilladder.CodeWrongUpstream, Text: string(id)}
		case k.config.Connections > 0 && len(m.conns) >= k.config.Connections:
			return nil, &RefusedError{Code: chervilladder.CodeConnectionLimit, Text: string(id)}
		}
		k.serial++
		c := &Conn{cluster: k, m: m, number: k.serial, broken: make(chan struct{})}
		m.conns[c] = struct{}{}
		return c, nil
	}
}

// SetPeer sets whom the connection was opened for. It must be called before the first
// command.
func (c *Conn) SetPeer(name string) { c.peer = name }

// wait releases the lock while it waits for a change. It returns false if quit is
// closed first.
func (k *Cluster) wait(quit <-chan struct{}) bool {
	changed := k.changed
	k.mu.Unlock()
	defer k.mu.Lock()
	select {
	case <-changed:
		return true
	case <-quit:
		return false
	}
}

// sleep releases the lock while it sleeps. It returns false if quit is closed first.
func (k *Cluster) sleep(d time.Duration, quit <-chan struct{}) bool {
	k.mu.Unlock()
	defer k.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-quit:
		return false
	}
}

// Close closes the connection and rolls back its transaction.
func (c *Conn) Close() {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection. The cluster's lock is held.
func (c *Conn) closeLocked() {
	select {
	case <-c.broken:
	default:
		close(c.broken)
		delete(c.m.conns, c)
	}
}

func (c *Conn) isBroken() bool {
	select {
	case <-c.broken:
		return true
	default:
		return false
	}
}

// Broken returns a channel that is closed with the connection.
func (c *Conn) Broken() <-chan struct{} { return c.broken }

// Mark returns the last log position that the member has applied.
func (c *Conn) Mark() chervilladder.Mark {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.m.mark(c.m.applied(time.Now()))
}

// Do runs a command. The error is ErrBroken if no answer will arrive.
func (c *Conn) Do(cmd chervilladder.Command) (chervilladder.Result, error) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for c.m.faults.Silent && !c.isBroken() {
		c.cluster.wait(c.broken)
	}
	if c.isBroken() {
		return chervilladder.Result{}, ErrBroken
	}
	r, err := c.run(cmd)
	if err != nil {
		return r, err
	}
	for c.m.faults.Silent && !c.isBroken() {
		c.cluster.wait(c.broken)
	}
	if c.isBroken() {
		return r, ErrBroken
	}
	switch {
	case c.tx == nil:
		r.State = chervilladder.StateIdle
	case c.tx.failed:
		r.State = chervilladder.StateFailed
	default:
		r.State = chervilladder.StateOpen
	}
	if r.Mark == (chervilladder.Mark{}) {
		r.Mark = c.m.mark(c.m.applied(time.Now()))
	}
	return r, nil
}

func (c *Conn) run(cmd chervilladder.Command) (chervilladder.Result, error) {
	if r, refused := c.refuse(cmd); refused {
		return r, nil
	}
	switch cmd.Kind {
	case chervilladder.CommandReset:
		c.values, c.prepared = nil, nil
	case chervilladder.CommandSet:
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[cmd.Name] = cmd.Rest
	case chervilladder.CommandPrepare:
		if c.prepared == nil {
			c.prepared = make(map[string]chervilladder.Command)
		}
		c.prepared[cmd.Name] = cmd
	case chervilladder.CommandDeallocate:
		delete(c.prepared, cmd.Name)
	case chervilladder.CommandBegin, chervilladder.CommandBeginRead:
		return c.begin(cmd), nil
	case chervilladder.CommandRollback:
		c.tx = nil
	case chervilladder.CommandCommit:
		return c.commit(cmd)
	case chervilladder.CommandRead, chervilladder.CommandWrite, chervilladder.CommandExecute:
		return c.statement(cmd)
	default:
		return c.fail(chervilladder.CodeMalformed, "unknown statement"), nil
	}
	return success(chervilladder.NoSignature), nil
}

func success(s chervilladder.Signature) chervilladder.Result {
	return chervilladder.Result{Signature: s}
}

// fail returns the answer to a failed command and marks the transaction as failed.
func (c *Conn) fail(code chervilladder.Code, text string) chervilladder.Result {
	if c.tx != nil {
		c.tx.failed = true
	}
	return chervilladder.Result{Code: code, Text: text}
}

// Control runs a STATUS, PAUSE, RESUME or STEPDOWN command and returns the member's
// status. The error is ErrBroken if no answer will arrive.
func (c *Conn) Control(cmd chervilladder.Command) (chervilladder.LinkStatus, error) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for c.m.faults.Silent && !c.isBroken() {
		c.cluster.wait(c.broken)
	}
	if c.isBroken() {
		return chervilladder.LinkStatus{}, ErrBroken
	}
	m := c.m
	switch cmd.Kind {
	case chervilladder.CommandPause:
		if !m.primary && cmd.Term > m.term {
			m.pauseTerm = max(m.pauseTerm, cmd.Term)
		}
	case chervilladder.CommandResume:
		m.pauseTerm = 0
	case chervilladder.CommandStepDown:
		if m.primary && cmd.Term > m.term {
			m.primary = false
			m.arrivals = make([]arrival, len(m.log))
		}
	}
	c.cluster.replicate()
	c.cluster.wake()
	return chervilladder.LinkStatus{
		Primary: m.primary, Term: m.term, Received: m.mark(len(m.log)), PauseTerm: m.pauseTerm,
		Lag: c.cluster.lag(m), Busy: m.busy, Connections: len(m.conns),
	}, nil
}

func (c *Conn) begin(cmd chervilladder.Command) chervilladder.Result {
	m := c.m
	switch {
	case c.tx != nil:
		return c.fail(chervilladder.CodeMalformed, "a transaction is open")
	case cmd.Kind == chervilladder.CommandBegin && !m.primary:
		return c.fail(chervilladder.CodeReadOnly, string(m.ID))
	case !m.covers(m.applied(time.Now()), cmd.Since):
		return c.fail(chervilladder.CodeLagging, string(m.ID))
	}
	c.cluster.serial++
	c.tx = &transaction{number: c.cluster.serial, readOnly: cmd.Kind == chervilladder.CommandBeginRead, term: m.term}
	return success(chervilladder.NoSignature)
}

// acquireSlot waits for a slot. It returns false if too many statements wait already.
func (c *Conn) acquireSlot() (bool, error) {
	m := c.m
	if m.busy >= m.Slots && m.waiting >= c.cluster.config.Queue {
		return false, nil
	}
	m.waiting++
	for m.busy >= m.Slots && !c.isBroken() {
		c.cluster.wait(c.broken)
	}
	m.waiting--
	if c.isBroken() {
		return false, ErrBroken
	}
	m.busy++
	return true, nil
}

// work waits for the time that a statement takes and releases its slot.
func (c *Conn) work() error {
	d := c.cluster.config.WorkTime
	if c.m.faults.WorkTime > 0 {
		d = c.m.faults.WorkTime
	}
	c.cluster.sleep(d, c.broken)
	c.m.busy--
	c.cluster.wake()
	if c.isBroken() {
		return ErrBroken
	}
	return nil
}

// statement runs a read or write.
func (c *Conn) statement(cmd chervilladder.Command) (chervilladder.Result, error) {
	m := c.m
	write, shape := cmd.Kind == chervilladder.CommandWrite, ""
	if cmd.Kind == chervilladder.CommandExecute {
		p, ok := c.prepared[cmd.Name]
		if !ok {
			return c.fail(chervilladder.CodeNoStatement, cmd.Name), nil
		}
		write, shape = p.Access == chervilladder.AccessWrite, p.Rest
	}
	if r, rejected := c.rejects(cmd, write); rejected {
		return r, nil
	}
	ok, err := c.acquireSlot()
	if err != nil {
		return chervilladder.Result{}, err
	}
	if !ok {
		return chervilladder.Result{Code: chervilladder.CodeBusy, Text: string(m.ID)}, nil
	}
	c.recordExecution(cmd, shape)
	if err := c.work(); err != nil {
		return chervilladder.Result{}, err
	}
	r := success(c.signature(cmd))
	if !write {
		r.Rows = []string{string(cmd.ID) + strings.TrimSpace(" "+cmd.Rest)}
		return r, c.loseAnswer()
	}
	if c.tx != nil {
		c.tx.writes = append(c.tx.writes, cmd)
		return r, c.loseAnswer()
	}
	return r, c.append([]chervilladder.Command{cmd}, &r)
}

// rejects returns the error answer and true if the statement must not run.
func (c *Conn) rejects(cmd chervilladder.Command, write bool) (chervilladder.Result, bool) {
	m := c.m
	switch {
	case c.tx != nil && c.tx.failed:
		return c.fail(chervilladder.CodeMalformed, "the transaction has failed"), true
	case c.tx != nil && !c.tx.readOnly && (!m.primary || m.term != c.tx.term),
		c.tx == nil && write && !m.primary,
		c.tx != nil && c.tx.readOnly && write:
		return c.fail(chervilladder.CodeReadOnly, string(m.ID)), true
	case !m.covers(m.applied(time.Now()), cmd.Since):
		return c.fail(chervilladder.CodeLagging, string(m.ID)), true
	default:
		return chervilladder.Result{}, false
	}
}

// signature returns a signature that no other answer has.
func (c *Conn) signature(cmd chervilladder.Command) chervilladder.Signature {
	c.cluster.serial++
	return chervilladder.Signature(fmt.Sprintf("%s.%s.%d", c.m.ID, cmd.ID, c.cluster.serial))
}

// recordExecution records the execution of a statement.
func (c *Conn) recordExecution(cmd chervilladder.Command, shape string) {
	run := Execution{
		Member: c.m.ID, Command: cmd, Log: c.m.mark(c.m.applied(time.Now())), At: time.Now(),
		Values: maps.Clone(c.values), Shape: shape, Connection: c.number, Peer: c.peer,
	}
	if c.tx != nil {
		run.Transaction = c.tx.number
	}
	c.cluster.executions = append(c.cluster.executions, run)
}

// loseAnswer closes the connection if the fault LoseAnswers applies, and decrements
// LoseAnswers.
func (c *Conn) loseAnswer() error {
	if c.m.faults.LoseAnswers == 0 {
		return nil
	}
	c.m.faults.LoseAnswers--
	c.closeLocked()
	return ErrBroken
}
