package group

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// redialDelay is how long a member waits before it dials a peer again.
const redialDelay = 100 * time.Millisecond

// maxInFlight is how many messages with log entries may wait for the lag of
// receiving.
const maxInFlight = 4096

// Run keeps links to all peers and replays the log until the context is done.
func (k *Keeper) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	defer parts.Wait()
	for peer, address := range k.peers {
		parts.Go(func() { k.keepLink(ctx, peer, address) })
	}
	parts.Go(func() { k.replay(ctx) })
	if err := k.Bootstrap(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// replay replays each entry once it is as old as the lag.
func (k *Keeper) replay(ctx context.Context) {
	for {
		position, at, err := k.db.AwaitReplay(ctx)
		if err != nil {
			return
		}
		if k.board.AwaitAge(ctx, at, func(s state.Settings) time.Duration { return s.ReplayLag }) != nil {
			return
		}
		if k.board.AwaitFlow(ctx, func(f state.Faults) bool { return f.Freeze }) != nil {
			return
		}
		k.db.Replay(position)
	}
}

// keepLink keeps a link to one peer.
func (k *Keeper) keepLink(ctx context.Context, peer chervilladder.UpstreamID, address chervilladder.Address) {
	for ctx.Err() == nil {
		if err := k.dial(ctx, peer, address); errors.Is(err, syscall.ECONNREFUSED) {
			k.evidence.note(peer)
		}
		// The only error is the end of the context, which the loop sees.
		_ = state.Sleep(ctx, redialDelay)
	}
}

func (k *Keeper) dial(ctx context.Context, peer chervilladder.UpstreamID, address chervilladder.Address) error {
	if err := k.board.AwaitFlow(ctx, state.GroupBlocked); err != nil {
		return err
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := k.board.NewConn(raw, state.GroupBlocked)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	f := &follower{
		keeper: k, peer: peer, out: json.NewEncoder(c),
		acks: make(chan struct{}, 1), inFlight: make(chan arrival, maxInFlight), subscriptions: make(chan subscribe, 1),
	}
	go func() {
		defer cancel()
		f.send(ctx)
	}()
	go func() {
		defer cancel()
		f.store(ctx)
	}()
	return f.receive(ctx, json.NewDecoder(c))
}

// arrival is a part of the log with the time at which it came.
type arrival struct {
	frame frame
	at    time.Time
}

// follower is the dialling end of a link.
type follower struct {
	keeper *Keeper
	peer   chervilladder.UpstreamID
	out    *json.Encoder
	// acks wakes the sender when the log has grown.
	acks          chan struct{}
	inFlight      chan arrival
	subscriptions chan subscribe
	// subscribed is the term in which the primary's log was asked for.
	subscribed chervilladder.Term
}

// receive takes in what the peer says.
func (f *follower) receive(ctx context.Context, in *json.Decoder) error {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return err
		}
		if m.Hello != nil {
			f.hear(ctx, *m.Hello)
			continue
		}
		f.heard(termOf(m))
		select {
		case f.inFlight <- arrival{frame: m, at: time.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func termOf(m frame) chervilladder.Term {
	switch {
	case m.Entries != nil:
		return m.Entries.Term
	case m.Snapshot != nil:
		return m.Snapshot.Term
	default:
		return 0
	}
}

// hear takes in a heartbeat, and asks for the log when the peer has become the
// primary to follow.
func (f *follower) hear(ctx context.Context, h hello) {
	if h.Term == 0 {
		f.keeper.evidence.note(f.peer)
	}
	f.keeper.hear(h)
	s := f.keeper.board.Standing.Load()
	if h.Role != chervilladder.RolePrimary || h.Term != s.Term || s.Primary != f.peer {
		return
	}
	f.heard(h.Term)
	if f.subscribed == h.Term {
		return
	}
	f.subscribed = h.Term
	select {
	case f.subscriptions <- subscribe{Term: h.Term, After: f.keeper.db.Log().Last()}:
	case <-ctx.Done():
	}
}

// heard notes that the primary is in touch.
func (f *follower) heard(t chervilladder.Term) {
	s := f.keeper.board.Standing.Load()
	if t != s.Term || s.Primary != f.peer {
		return
	}
	f.keeper.board.Heard.Update(func(h *state.Heard) {
		*h = state.Heard{Member: f.peer, Term: t, At: time.Now()}
	})
}

// send sends a heartbeat at each interval and whenever the log has grown.
func (f *follower) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		if f.out.Encode(frame{Hello: f.keeper.hello()}) != nil {
			return
		}
		select {
		case <-beat.C:
		case <-f.acks:
		case s := <-f.subscriptions:
			if f.out.Encode(frame{Subscribe: &s}) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// store adds to the log what came, once it is as old as the lag of receiving.
// It returns when the link has to begin anew.
func (f *follower) store(ctx context.Context) {
	for {
		select {
		case a := <-f.inFlight:
			lag := func(s state.Settings) time.Duration { return s.ReceiveLag }
			if f.keeper.board.AwaitAge(ctx, a.at, lag) != nil || !f.keep(a.frame) {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case f.acks <- struct{}{}:
		default:
		}
	}
}

// keep adds a part of the primary's log to one's own while the peer is the
// primary to follow. It returns false when the part doesn't fit.
func (f *follower) keep(m frame) bool {
	fits := true
	// The function that is held returns no error.
	_ = f.keeper.board.Standing.Hold(func(s state.Standing) error {
		if s.Primary != f.peer || s.Role != chervilladder.RoleReplica || termOf(m) != s.Term {
			return nil
		}
		db, start := f.keeper.db, chervilladder.Position(0)
		if m.Snapshot != nil {
			start = m.Snapshot.Start
			db.Restore(m.Snapshot.Content)
		}
		if m.Entries != nil {
			start = m.Entries.Start
			for _, e := range m.Entries.List {
				fits = fits && db.Receive(e)
			}
		}
		if fits && db.Log().Last().Position >= start {
			db.Log().Agree(s.Term)
		}
		return nil
	})
	return fits
}
