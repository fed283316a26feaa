package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Linker opens in-process links to members.
type Linker struct{ Cluster *Cluster }

var _ chervilladder.Linker = Linker{}

// Open opens a link. It serves the link on a goroutine until the connection is closed.
func (l Linker) Open(ctx context.Context, u chervilladder.Registered, account chervilladder.AccountID) (chervilladder.Link, error) {
	c, err := l.Cluster.Connect(u.ID, u.Service, u.ID, ctx.Done())
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil, &chervilladder.LinkRefusedError{Upstream: u.ID, Code: refused.Code, Text: refused.Text}
	}
	if err != nil {
		return nil, &chervilladder.UpstreamLostError{Upstream: u.ID, Err: err}
	}
	c.SetPeer(string(account))
	opened := &link{conn: c, upstream: u.ID, commands: make(chan chervilladder.Command, maxOutstanding), answers: make(chan answer, maxOutstanding)}
	go opened.serve()
	return opened, nil
}

// maxOutstanding is how many commands may wait on a link. Send blocks while there are
// more.
const maxOutstanding = 64

type answer struct {
	result chervilladder.Result
	err    error
}

type link struct {
	conn     *Conn
	upstream chervilladder.UpstreamID
	commands chan chervilladder.Command
	answers  chan answer
}

func (l *link) serve() {
	for {
		select {
		case c := <-l.commands:
			r, err := l.run(c)
			l.answer(c, answer{r, err})
			if err != nil {
				return
			}
		case <-l.conn.Broken():
			return
		}
	}
}

// Send queues commands.
func (l *link) Send(_ time.Time, commands ...chervilladder.Command) error {
	for _, c := range commands {
		select {
		case <-l.conn.Broken():
			return l.lost()
		case l.commands <- c:
		}
	}
	return nil
}

// Receive waits for the next answer.
func (l *link) Receive(deadline time.Time) (chervilladder.Result, error) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case a := <-l.answers:
		if a.err != nil {
			return a.result, l.lost()
		}
		return a.result, nil
	case <-t.C:
	case <-l.conn.Broken():
		select {
		case a := <-l.answers:
			if a.err == nil {
				return a.result, nil
			}
		default:
		}
	}
	l.Close()
	return chervilladder.Result{}, l.lost()
}

// DecodeStatus returns the status in an answer to a status command.
func (l *link) DecodeStatus(r chervilladder.Result) (chervilladder.LinkStatus, error) {
	var s chervilladder.LinkStatus
	if r.Code != chervilladder.CodeNone || len(r.Rows) != 1 {
		return s, &chervilladder.LinkRefusedError{Upstream: l.upstream, Code: r.Code, Text: r.Text}
	}
	return s, json.Unmarshal([]byte(r.Rows[0]), &s)
}

// run runs a command of any kind. A status is encoded as a row.
func (l *link) run(c chervilladder.Command) (chervilladder.Result, error) {
	if !c.Kind.ReturnsStatus() {
		return l.conn.Do(c)
	}
	s, err := l.conn.Control(c)
	if err != nil {
		return chervilladder.Result{}, err
	}
	row, err := json.Marshal(s)
	return chervilladder.Result{Rows: []string{string(row)}, Signature: chervilladder.NoSignature}, err
}

// Close closes the link and rolls back its transaction.
func (l *link) Close() { l.conn.Close() }

func (l *link) lost() error {
	return &chervilladder.UpstreamLostError{Upstream: l.upstream, Sent: true, Err: ErrBroken}
}

// Promoter orders promotions at a cluster.
type Promoter struct{ Cluster *Cluster }

var _ chervilladder.Promoter = Promoter{}

// Promote orders a promotion with the holder and epoch of the failover leadership.
func (p Promoter) Promote(_ context.Context, l chervilladder.Leadership, _ chervilladder.ServiceID, u chervilladder.UpstreamID) error {
	return p.Cluster.Promote(l.Holder, l.Epoch, u)
}
