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
// is done. On the initial member it also starts term 1 of a new group.
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
		if k.board.AwaitElapsed(ctx, at, func(s state.Settings) time.Duration { return s.ReplayLag }) != nil {
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
		if err := k.runLink(ctx, peer, address); errors.Is(err, syscall.ECONNREFUSED) {
			k.termless.add(peer)
		}
		// Sleep fails only when the context is done, which the loop
		// checks.
		_ = state.Sleep(ctx, redialDelay)
	}
}

func (k *Keeper) runLink(ctx context.Context, peer chervilladder.UpstreamID, address chervilladder.Address) error {
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
	l := &dialledLink{
		keeper: k, peer: peer, out: json.NewEncoder(c),
		acks: make(chan struct{}, 1), inFlight: make(chan arrival, maxInFlight), subscriptions: make(chan subscribe, 1),
	}
	go func() {
		defer cancel()
		l.send(ctx)
	}()
	go func() {
		defer cancel()
		l.appendArrivals(ctx)
	}()
	return l.receive(ctx, json.NewDecoder(c))
}

// arrival is a frame with log entries or a snapshot, and when it was received.
type arrival struct {
	frame frame
	at    time.Time
}

// dialledLink is the dialling end of a connection between two members. It
// subscribes to the peer's log when the peer is the primary to follow.
type dialledLink struct {
	keeper *Keeper
	peer   chervilladder.UpstreamID
	out    *json.Encoder
	// acks wakes the sender to report the received position at once.
	acks          chan struct{}
	inFlight      chan arrival
	subscriptions chan subscribe
	// subscribed is the term for which the link has subscribed to the
	// primary's log.
	subscribed chervilladder.Term
}

// receive handles the peer's frames until the connection fails.
func (l *dialledLink) receive(ctx context.Context, in *json.Decoder) error {
	for {
		var m frame
		if err := in.Decode(&m); err != nil {
			return err
		}
		if m.Heartbeat != nil {
			l.handleHeartbeat(ctx, *m.Heartbeat)
			continue
		}
		l.noteContact(termOf(m))
		select {
		case l.inFlight <- arrival{frame: m, at: time.Now()}:
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
func (l *dialledLink) handleHeartbeat(ctx context.Context, h heartbeat) {
	if h.Term == 0 {
		l.keeper.termless.add(l.peer)
	}
	l.keeper.applyHeartbeat(h)
	s := l.keeper.board.Member.Load()
	if h.Role != chervilladder.RolePrimary || h.Term != s.Term || s.Primary != l.peer {
		return
	}
	l.noteContact(h.Term)
	if l.subscribed == h.Term {
		return
	}
	l.subscribed = h.Term
	select {
	case l.subscriptions <- subscribe{Term: h.Term, After: l.keeper.db.Log().Last()}:
	case <-ctx.Done():
	}
}

// noteContact records the time of a frame from the primary to follow.
func (l *dialledLink) noteContact(t chervilladder.Term) {
	s := l.keeper.board.Member.Load()
	if t != s.Term || s.Primary != l.peer {
		return
	}
	l.keeper.board.LastContact.Update(func(c *state.Contact) {
		*c = state.Contact{Member: l.peer, Term: t, At: time.Now()}
	})
}

// send sends the subscriptions to the peer's log, and a heartbeat at each
// interval, after each subscription and whenever the log has grown.
func (l *dialledLink) send(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		if l.out.Encode(frame{Heartbeat: l.keeper.heartbeat()}) != nil {
			return
		}
		select {
		case <-beat.C:
		case <-l.acks:
		case s := <-l.subscriptions:
			if l.out.Encode(frame{Subscribe: &s}) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// appendArrivals appends received frames to the log once the configured receive
// lag has passed. It returns when the connection has to be reopened.
func (l *dialledLink) appendArrivals(ctx context.Context) {
	for {
		select {
		case a := <-l.inFlight:
			lag := func(s state.Settings) time.Duration { return s.ReceiveLag }
			if l.keeper.board.AwaitElapsed(ctx, a.at, lag) != nil || !l.appendFrame(a.frame) {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case l.acks <- struct{}{}:
		default:
		}
	}
}

// appendFrame appends a frame's entries to the member's log, or restores its
// snapshot, if the peer is still the primary to follow. It returns false when
// the entries don't follow the end of the log.
func (l *dialledLink) appendFrame(m frame) bool {
	fits := true
	// The function passed to WithLock never fails.
	_ = l.keeper.board.Member.WithLock(func(s state.MemberState) error {
		if s.Primary != l.peer || s.Role != chervilladder.RoleReplica || termOf(m) != s.Term {
			return nil
		}
		db, lastBeforeTerm := l.keeper.db, chervilladder.Position(0)
		if m.Snapshot != nil {
			lastBeforeTerm = m.Snapshot.LastBeforeTerm
			db.Restore(m.Snapshot.Content)
		}
		if m.Entries != nil {
			lastBeforeTerm = m.Entries.LastBeforeTerm
			for _, e := range m.Entries.List {
				fits = fits && db.Receive(e)
			}
		}
		if fits && db.Log().Last().Position >= lastBeforeTerm {
			db.Log().MarkComplete(s.Term)
		}
		return nil
	})
	return fits
}
