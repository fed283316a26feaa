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

// feed is the accepting end of a connection between two members: it sends
// heartbeats and, to a subscriber, the log.
type feed struct {
	keeper *Keeper
	out    *json.Encoder
	// subscriptions carries subscriptions from receive to send.
	subscriptions chan subscribe
	// sent is the mark up to which the log has been sent, term the
	// subscribed term; 0 stands for no subscription.
	sent chervilladder.Mark
	term chervilladder.Term
}

func (k *Keeper) serveLink(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := k.board.NewConn(raw, state.GroupBlocked)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	f := &feed{keeper: k, out: json.NewEncoder(c), subscriptions: make(chan subscribe, 1)}
	go func() {
		defer cancel()
		f.send(ctx)
	}()
	f.receive(ctx, json.NewDecoder(c))
}

// receive handles the dialling member's frames until the connection fails.
func (f *feed) receive(ctx context.Context, in *json.Decoder) {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return
		}
		if m.Heartbeat != nil {
			f.keeper.applyHeartbeat(*m.Heartbeat)
			f.keeper.noteReplicaContact(*m.Heartbeat)
		}
		if m.Subscribe != nil {
			select {
			case f.subscriptions <- *m.Subscribe:
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
	k.board.LastContact.Update(func(contact *state.Contact) {
		*contact = state.Contact{Member: h.Member, Term: h.Term, At: time.Now()}
	})
}

// send sends heartbeats at heartbeatInterval, and the log as it grows.
func (f *feed) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	if f.out.Encode(frame{Heartbeat: f.keeper.heartbeat()}) != nil {
		return
	}
	for {
		grown, err := f.sendLog()
		if err != nil {
			return
		}
		select {
		case <-grown:
		case s := <-f.subscriptions:
			f.term, f.sent = s.Term, s.After
			err = f.answerSubscription()
		case <-beat.C:
			err = f.out.Encode(frame{Heartbeat: f.keeper.heartbeat()})
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// serves reports whether the member is the primary of the subscribed term.
func (f *feed) serves() (state.MemberState, bool) {
	s := f.keeper.board.Member.Load()
	return s, s.Role == chervilladder.RolePrimary && f.term != 0 && f.term == s.Term
}

// answerSubscription answers a subscription with an empty list of entries when
// the replica's log is a prefix of this one, so that the replica knows it, and
// with a snapshot otherwise.
func (f *feed) answerSubscription() error {
	s, ok := f.serves()
	if !ok {
		f.term = 0
		return nil
	}
	if !f.keeper.db.Log().After(f.sent, 0).Diverged {
		return f.out.Encode(frame{Entries: &entries{Term: s.Term, Start: s.Start}})
	}
	return f.sendSnapshot(s)
}

func (f *feed) sendSnapshot(s state.MemberState) error {
	content := f.keeper.db.Snapshot()
	f.sent = content.Mark
	return f.out.Encode(frame{Snapshot: &snapshot{Term: s.Term, Start: s.Start, Content: content}})
}

// sendLog sends the log entries that have not been sent yet. It returns a
// channel that closes when the log grows, or nil without a subscription.
func (f *feed) sendLog() (<-chan struct{}, error) {
	for {
		s, ok := f.serves()
		if !ok {
			return nil, nil
		}
		tail := f.keeper.db.Log().After(f.sent, maxEntries)
		if tail.Diverged {
			if err := f.sendSnapshot(s); err != nil {
				return nil, err
			}
			continue
		}
		if len(tail.Entries) == 0 {
			return tail.Grown, nil
		}
		f.sent = lastOf(tail.Entries)
		if err := f.out.Encode(frame{Entries: &entries{Term: s.Term, Start: s.Start, List: tail.Entries}}); err != nil {
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
