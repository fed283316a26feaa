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

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 50 * time.Millisecond

// maxEntries is how many log entries one message holds.
const maxEntries = 256

// Serve answers the other members on a listener until the context is done.
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

// feed is the serving end of a link: it sends heartbeats and the log.
type feed struct {
	keeper *Keeper
	out    *json.Encoder
	// wanted carries the latest subscription.
	wanted chan subscribe
	// sent is the mark up to which the log was sent in a term; a term of 0
	// is no subscription.
	sent chervilladder.Mark
	term chervilladder.Term
}

func (k *Keeper) serveLink(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := k.board.NewConn(raw, state.GroupBlocked)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	f := &feed{keeper: k, out: json.NewEncoder(c), wanted: make(chan subscribe, 1)}
	go func() {
		defer cancel()
		f.send(ctx)
	}()
	f.receive(ctx, json.NewDecoder(c))
}

// receive takes in what the dialling member says.
func (f *feed) receive(ctx context.Context, in *json.Decoder) {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return
		}
		if m.Hello != nil {
			f.keeper.hear(*m.Hello)
			f.keeper.acknowledge(*m.Hello)
		}
		if m.Subscribe != nil {
			select {
			case f.wanted <- *m.Subscribe:
			case <-ctx.Done():
				return
			}
		}
	}
}

// acknowledge notes that a replica of the current term is in touch.
func (k *Keeper) acknowledge(h hello) {
	s := k.board.Standing.Load()
	if s.Role != chervilladder.RolePrimary || h.Term != s.Term {
		return
	}
	k.board.Heard.Update(func(heard *state.Heard) {
		*heard = state.Heard{Member: h.Member, Term: h.Term, At: time.Now()}
	})
}

// send sends a heartbeat at each interval, and the log as it grows.
func (f *feed) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	if f.out.Encode(frame{Hello: f.keeper.hello()}) != nil {
		return
	}
	for {
		grown, err := f.sendLog()
		if err != nil {
			return
		}
		select {
		case <-grown:
		case s := <-f.wanted:
			f.term, f.sent = s.Term, s.After
			err = f.begin()
		case <-beat.C:
			err = f.out.Encode(frame{Hello: f.keeper.hello()})
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// serves reports whether the member is the primary of the subscribed term.
func (f *feed) serves() (state.Standing, bool) {
	s := f.keeper.board.Standing.Load()
	return s, s.Role == chervilladder.RolePrimary && f.term != 0 && f.term == s.Term
}

// begin answers a subscription: with no entries when the logs agree, so that
// the replica knows it, and with a snapshot when they don't.
func (f *feed) begin() error {
	s, ok := f.serves()
	if !ok {
		f.term = 0
		return nil
	}
	if !f.keeper.db.Log().After(f.sent, 0).Parted {
		return f.out.Encode(frame{Entries: &entries{Term: s.Term, Start: s.Start}})
	}
	return f.sendSnapshot(s)
}

func (f *feed) sendSnapshot(s state.Standing) error {
	content := f.keeper.db.Snapshot()
	f.sent = content.Mark
	return f.out.Encode(frame{Snapshot: &snapshot{Term: s.Term, Start: s.Start, Content: content}})
}

// sendLog sends what the log holds after what was sent. It returns a channel
// that closes when there is more.
func (f *feed) sendLog() (<-chan struct{}, error) {
	for {
		s, ok := f.serves()
		if !ok {
			return nil, nil
		}
		tail := f.keeper.db.Log().After(f.sent, maxEntries)
		if tail.Parted {
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

// hello returns what the member says of itself.
func (k *Keeper) hello() *hello {
	s := k.board.Standing.Load()
	return &hello{
		Member: k.name, Role: s.Role, Term: s.Term, Attempt: s.Attempt,
		Claim: s.Claim, Holder: s.Holder, Received: k.db.Log().Last().Position,
	}
}
