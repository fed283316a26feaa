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

// redialDelay is the delay before a member reconnects to a peer.
const redialDelay = 100 * time.Millisecond

// maxInFlight is the number of received messages with log entries that may be
// delayed by the configured receive lag.
const maxInFlight = 4096

// Run maintains a connection to each peer and replays the log until the context
// is done.
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

// replay replays each entry once the configured replay lag has passed since it
// was received.
func (k *Keeper) replay(ctx context.Context) {
	for {
		position, at, err := k.db.AwaitReplay(ctx)
		if err != nil {
			return
		}
		if k.board.AwaitAge(ctx, at, func(s state.Settings) time.Duration { return s.ReplayLag }) != nil {
			return
		}
		if k.board.AwaitUnblocked(ctx, func(f state.Faults) bool { return f.Freeze }) != nil {
			return
		}
		k.db.Replay(position)
	}
}

// keepLink maintains the connection to one peer. A peer that refuses the
// connection has no running process, and so no term.
func (k *Keeper) keepLink(ctx context.Context, peer chervilladder.UpstreamID, address chervilladder.Address) {
	for ctx.Err() == nil {
		if err := k.dial(ctx, peer, address); errors.Is(err, syscall.ECONNREFUSED) {
			k.termless.add(peer)
		}
		// Sleep fails only when the context is done, which the loop
		// checks.
		_ = state.Sleep(ctx, redialDelay)
	}
}

func (k *Keeper) dial(ctx context.Context, peer chervilladder.UpstreamID, address chervilladder.Address) error {
	if err := k.board.AwaitUnblocked(ctx, state.GroupBlocked); err != nil {
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
		f.appendArrivals(ctx)
	}()
	return f.receive(ctx, json.NewDecoder(c))
}

// arrival is a frame with log entries or a snapshot, and when it was received.
type arrival struct {
	frame frame
	at    time.Time
}

// follower is the dialling end of a connection between two members. It
// subscribes to the peer's log when the peer is the primary to follow.
type follower struct {
	keeper *Keeper
	peer   chervilladder.UpstreamID
	out    *json.Encoder
	// acks wakes the sender to acknowledge new log entries.
	acks          chan struct{}
	inFlight      chan arrival
	subscriptions chan subscribe
	// subscribed is the term for which the follower has subscribed to the
	// primary's log.
	subscribed chervilladder.Term
}

// receive handles the peer's frames until the connection fails.
func (f *follower) receive(ctx context.Context, in *json.Decoder) error {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return err
		}
		if m.Heartbeat != nil {
			f.handleHeartbeat(ctx, *m.Heartbeat)
			continue
		}
		f.noteContact(termOf(m))
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

// handleHeartbeat processes a heartbeat, and subscribes to the log when the
// peer has become the primary to follow.
func (f *follower) handleHeartbeat(ctx context.Context, h heartbeat) {
	if h.Term == 0 {
		f.keeper.termless.add(f.peer)
	}
	f.keeper.applyHeartbeat(h)
	s := f.keeper.board.Member.Load()
	if h.Role != chervilladder.RolePrimary || h.Term != s.Term || s.Primary != f.peer {
		return
	}
	f.noteContact(h.Term)
	if f.subscribed == h.Term {
		return
	}
	f.subscribed = h.Term
	select {
	case f.subscriptions <- subscribe{Term: h.Term, After: f.keeper.db.Log().Last()}:
	case <-ctx.Done():
	}
}

// noteContact records the time of a frame from the primary to follow.
func (f *follower) noteContact(t chervilladder.Term) {
	s := f.keeper.board.Member.Load()
	if t != s.Term || s.Primary != f.peer {
		return
	}
	f.keeper.board.LastContact.Update(func(contact *state.Contact) {
		*contact = state.Contact{Member: f.peer, Term: t, At: time.Now()}
	})
}

// send sends a heartbeat at each interval and whenever the log has grown.
func (f *follower) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		if f.out.Encode(frame{Heartbeat: f.keeper.heartbeat()}) != nil {
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

// appendArrivals appends received frames to the log once the configured receive
// lag has passed. It returns when the connection has to be reopened.
func (f *follower) appendArrivals(ctx context.Context) {
	for {
		select {
		case a := <-f.inFlight:
			lag := func(s state.Settings) time.Duration { return s.ReceiveLag }
			if f.keeper.board.AwaitAge(ctx, a.at, lag) != nil || !f.appendFrame(a.frame) {
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

// appendFrame appends a frame's entries to the member's log, or restores its
// snapshot, if the peer is still the primary to follow. It returns false when
// the entries don't follow the end of the log.
func (f *follower) appendFrame(m frame) bool {
	fits := true
	// The function passed to Hold never fails.
	_ = f.keeper.board.Member.Hold(func(s state.MemberState) error {
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
			db.Log().MarkComplete(s.Term)
		}
		return nil
	})
	return fits
}
