package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Linker opens in-process links to members.
type Linker struct{ Cluster *Cluster }

var _ chervilladder.Linker = Linker{}

// Open opens a link.
func (l Linker) Open(ctx context.Context, u chervilladder.Registered) (chervilladder.Link, error) {
	c, err := l.Cluster.Connect(u.ID, u.Service, u.ID, ctx.Done())
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil, &chervilladder.LinkRefusedError{Upstream: u.ID, Code: refused.Code, Text: refused.Text}
	}
	if err != nil {
		return nil, &chervilladder.UpstreamLostError{Upstream: u.ID, Err: err}
	}
	k := &link{conn: c, upstream: u.ID, commands: make(chan chervilladder.Command, maxOutstanding), answers: make(chan answer, maxOutstanding)}
	go k.serve()
	return k, nil
}

// maxOutstanding bounds the unanswered commands of a link.
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

func (k *link) serve() {
	for {
		select {
		case c := <-k.commands:
			r, err := k.conn.Do(c)
			k.answers <- answer{r, err}
			if err != nil {
				return
			}
		case <-k.conn.Broken():
			return
		}
	}
}

// Send queues commands.
func (k *link) Send(_ time.Time, commands ...chervilladder.Command) error {
	for _, c := range commands {
		select {
		case <-k.conn.Broken():
			return k.lost()
		case k.commands <- c:
		}
	}
	return nil
}

// Receive waits for the next answer.
func (k *link) Receive(deadline time.Time) (chervilladder.Result, error) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case a := <-k.answers:
		if a.err != nil {
			return a.result, k.lost()
		}
		return a.result, nil
	case <-t.C:
	case <-k.conn.Broken():
		select {
		case a := <-k.answers:
			if a.err == nil {
				return a.result, nil
			}
		default:
		}
	}
	k.Close()
	return chervilladder.Result{}, k.lost()
}

// Status runs a STATUS, PAUSE, RESUME or STEPDOWN command and returns the status.
func (k *link) Status(deadline time.Time, c chervilladder.Command) (chervilladder.LinkStatus, error) {
	type reply struct {
		status chervilladder.LinkStatus
		err    error
	}
	answered := make(chan reply, 1)
	go func() {
		s, err := k.conn.Control(c)
		answered <- reply{s, err}
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case a := <-answered:
		if a.err != nil {
			return a.status, k.lost()
		}
		return a.status, nil
	case <-t.C:
		k.Close()
		return chervilladder.LinkStatus{}, k.lost()
	}
}

// Close closes the link.
func (k *link) Close() { k.conn.Close() }

func (k *link) lost() error {
	return &chervilladder.UpstreamLostError{Upstream: k.upstream, Sent: true, Err: ErrBroken}
}

// Promoter orders promotions at a cluster.
type Promoter struct{ Cluster *Cluster }

var _ chervilladder.Promoter = Promoter{}

// Promote orders a promotion.
func (p Promoter) Promote(_ context.Context, l chervilladder.Leadership, _ chervilladder.ServiceID, u chervilladder.UpstreamID) error {
	return p.Cluster.Promote(l.Holder, l.Epoch, u)
}
