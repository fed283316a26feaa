package group

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// heartbeatInterval is the interval at which each end of a connection sends
// heartbeats.
const heartbeatInterval = 50 * time.Millisecond

// maxEntries is the maximum number of log entries in one message.
const maxEntries = 256

// Serve accepts connections from the other members until the context is done.
func (k *Keeper) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var links sync.WaitGroup
	defer links.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		links.Go(func() { k.serveLink(ctx, c) })
	}
}

// acceptedLink is the accepting end of a connection between two members: it
// sends heartbeats and, to a subscriber, the log.
type acceptedLink struct {
	keeper *Keeper
	out    *json.Encoder
	// subscriptions carries subscriptions from receive to send.
	subscriptions chan subscribe
	// sent is the mark up to which the log has been sent.
	sent chervilladder.Mark
	// term is the subscribed term, or 0 without a subscription.
	term chervilladder.Term
}

func (k *Keeper) serveLink(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := k.board.NewConn(raw, state.GroupBlocked)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	l := &acceptedLink{keeper: k, out: json.NewEncoder(c), subscriptions: make(chan subscribe, 1)}
	go func() {
		defer cancel()
		l.send(ctx)
	}()
	l.receive(ctx, json.NewDecoder(c))
}

// receive handles the dialling member's frames until the connection fails.
func (l *acceptedLink) receive(ctx context.Context, in *json.Decoder) {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return
		}
		if m.Heartbeat != nil {
			l.keeper.applyHeartbeat(*m.Heartbeat)
			l.keeper.noteReplicaContact(*m.Heartbeat)
		}
		if m.Subscribe != nil {
			select {
			case l.subscriptions <- *m.Subscribe:
			case <-ctx.Done():
				return
			}
		}
	}
}

// noteReplicaContact records, on the primary, the time of a heartbeat from a
// replica in the present term.
func (k *Keeper) noteReplicaContact(h heartbeat) {
	s := k.board.Member.Load()
	if s.Role != chervilladder.RolePrimary || h.Term != s.Term {
		return
	}
	k.board.LastContact.Update(func(c *state.Contact) {
		*c = state.Contact{Member: h.Member, Term: h.Term, At: time.Now()}
	})
}

// send sends heartbeats at heartbeatInterval, and the log as it grows.
func (l *acceptedLink) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	if l.out.Encode(frame{Heartbeat: l.keeper.heartbeat()}) != nil {
		return
	}
	for {
		grown, err := l.sendLog()
		if err != nil {
			return
		}
		select {
		case <-grown:
		case s := <-l.subscriptions:
			l.term, l.sent = s.Term, s.After
			err = l.answerSubscription()
		case <-beat.C:
			err = l.out.Encode(frame{Heartbeat: l.keeper.heartbeat()})
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// serves reports whether the member is the primary of the subscribed term.
func (l *acceptedLink) serves() (state.MemberState, bool) {
	s := l.keeper.board.Member.Load()
	return s, s.Role == chervilladder.RolePrimary && l.term != 0 && l.term == s.Term
}

// answerSubscription answers a subscription with an empty list of entries when
// this log holds the replica's last entry, so that the replica knows that its
// log is a prefix of this one, and with a snapshot otherwise. A snapshot also
// answers a prefix whose last entry has been trimmed here. A member that isn't
// the primary of the subscribed term sends no answer.
func (l *acceptedLink) answerSubscription() error {
	s, ok := l.serves()
	if !ok {
		l.term = 0
		return nil
	}
	if !l.keeper.db.Log().After(l.sent, 0).Diverged {
		return l.out.Encode(frame{Entries: &entries{Term: s.Term, LastBeforeTerm: s.LastBeforeTerm}})
	}
	return l.sendSnapshot(s)
}

func (l *acceptedLink) sendSnapshot(s state.MemberState) error {
	content := l.keeper.db.Snapshot()
	l.sent = content.Mark
	return l.out.Encode(frame{Snapshot: &snapshot{Term: s.Term, LastBeforeTerm: s.LastBeforeTerm, Content: content}})
}

// sendLog sends the log entries that have not been sent yet, or a snapshot when
// the log doesn't hold the last one sent. It returns a channel that closes when
// the log grows, or nil without a subscription and when the member is no longer
// the primary of the subscribed term.
func (l *acceptedLink) sendLog() (<-chan struct{}, error) {
	for {
		s, ok := l.serves()
		if !ok {
			return nil, nil
		}
		tail := l.keeper.db.Log().After(l.sent, maxEntries)
		if tail.Diverged {
			if err := l.sendSnapshot(s); err != nil {
				return nil, err
			}
			continue
		}
		if len(tail.Entries) == 0 {
			return tail.Grown, nil
		}
		l.sent = lastOf(tail.Entries)
		if err := l.out.Encode(frame{Entries: &entries{Term: s.Term, LastBeforeTerm: s.LastBeforeTerm, List: tail.Entries}}); err != nil {
			return nil, err
		}
	}
}

func lastOf(list []engine.Entry) chervilladder.Mark {
	last := list[len(list)-1]
	return chervilladder.Mark{Term: last.Term, Position: last.Position}
}

// heartbeat returns the heartbeat that describes the member's present state.
func (k *Keeper) heartbeat() *heartbeat {
	s := k.board.Member.Load()
	return &heartbeat{
		Member: k.name, Role: s.Role, Term: s.Term, Attempt: s.Attempt,
		Claim: s.Claim, Holder: s.Holder, Received: k.db.Log().Last().Position,
	}
}
