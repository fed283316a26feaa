package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
	"github.com/chervilladder/chervilladder/internal/decide/storereaders"
)

// Intervals and limits of a follower.
const (
	// streams is how many peers are followed at a time. The first one sends
	// changes. The second one sends only the age and the revisions of its data;
	// they show when the first one has lost the store, which isn't noticed at
	// once otherwise. The second one is asked for changes too when it has had
	// newer revisions than this VM for behindHeartbeats heartbeats.
	streams          = 2
	behindHeartbeats = 2
	// checkEvery is how often this VM checks whether to follow peers.
	checkEvery = 100 * time.Millisecond
	// unavailableAfter is the time without an answer of the store after which
	// this VM also follows peers that aren't readers. It is longer than a watch
	// without changes takes to end.
	unavailableAfter = 2500 * time.Millisecond
	// maxPeerAge is how old the data of a followed peer may be. It is longer
	// than the peer's own watches wait.
	maxPeerAge = 4 * time.Second
	// silenceTimeout is how long a peer may send nothing. A connected peer
	// sends several messages in that time.
	silenceTimeout = 900 * time.Millisecond
	// avoidLostFor is how long a lost peer is not followed again.
	avoidLostFor = 3 * time.Second
)

// maxPeers bounds how many peers are tried while the store is unavailable. Each
// takes a connection.
const maxPeers = 8

// chooseReaders determines, on each change of the peers, whether this VM reads the
// store and which peers it may follow. In between it updates the sources every
// checkEvery.
func (k *Controller) chooseReaders(ctx context.Context) {
	for {
		peers, changed := k.c.Board.Peers.Watch()
		self := k.c.Board.Self
		readers := storereaders.Readers(append([]chervilladder.VM{self}, peers...))
		isReader := slices.ContainsFunc(readers, func(vm chervilladder.VM) bool { return vm.ID == self.ID })
		if isReader {
			readers = nil
		}
		k.setReaders(storereaders.Sources(self, readers), isReader)
		k.updateSources()
		t := time.NewTimer(checkEvery)
		for again := true; again; {
			select {
			case <-changed:
				again = false
			case <-t.C:
				k.updateSources()
				t.Reset(checkEvery)
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
		t.Stop()
	}
}

// setReaders sets the readers that this VM follows, if any, and whether it is a
// reader itself.
func (k *Controller) setReaders(readers []chervilladder.VM, isReader bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readers, k.isReader = readers, isReader
}

// updateSources writes to the blackboard whether this VM reads the store, and
// determines which peers it follows.
func (k *Controller) updateSources() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.c.Clock()
	next := blackboard.StoreAccess{ForPeers: k.isReader}
	follows := len(k.readers) > 0
	if follows {
		next.FromPeers = now.Sub(k.c.Board.PeerConfirmedAt.Load()) < storereaders.Stale(k.c.Board.Bounds.Load().ConfigInForce)
	}
	if before := k.c.Board.StoreAccess.Load(); before != next {
		k.c.Board.StoreAccess.Store(next)
		k.c.Log.WithFields(logrus.Fields{
			"elsewhere": next.FromPeers, "for-others": next.ForPeers, "readers": len(k.readers),
		}).Info("relay: source of the store's contents changed")
	}
	k.readListInANewEra()
	unavailable := now.Sub(k.c.Board.StoreAnswered()) >= unavailableAfter
	if follows {
		unavailable = unavailable && now.Sub(k.c.Board.PeerConfirmedAt.Load()) >= unavailableAfter
	}
	if unavailable != k.storeUnavailable {
		k.storeUnavailable = unavailable
		k.c.Log.WithFields(logrus.Fields{"asking": unavailable, "peers": len(k.c.Board.Peers.Load())}).Info("relay: store availability changed; peers that are not readers may be followed while asking is true")
	}
	k.sources = k.readers
	if unavailable || k.drainsUnknown() {
		k.sources = append(slices.Clone(k.readers), k.fallbackPeers()...)
	}
}

// readListInANewEra has the list of VMs read soon once the store has come back from an older
// copy: this VM may be missing from it. The caller holds the lock.
func (k *Controller) readListInANewEra() {
	era := k.c.Board.KnownRevisions().Era()
	if era == k.era {
		return
	}
	if k.era != 0 {
		k.c.Board.ListTrigger.Ask()
	}
	k.era = era
}

// fallbackPeers returns the peers to follow while the store is unavailable. They
// differ between VMs.
func (k *Controller) fallbackPeers() []chervilladder.VM {
	byID := make(map[chervilladder.VMID]chervilladder.VM)
	var ids []chervilladder.VMID
	for _, vm := range k.c.Board.Peers.Load() {
		byID[vm.ID] = vm
		ids = append(ids, vm.ID)
	}
	var list []chervilladder.VM
	for _, id := range rendezvous.Ranked(rendezvous.Task("relay/"+k.c.Board.Self.ID), ids) {
		if len(list) == maxPeers {
			break
		}
		list = append(list, byID[id])
	}
	return list
}

// nextSource returns the peer that a stream is to follow now.
func (k *Controller) nextSource(stream int) (chervilladder.VM, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.c.Clock()
	for _, vm := range k.sources {
		if lost, ok := k.lost[vm.ID]; ok && now.Sub(lost) < avoidLostFor || slices.Contains(k.following[:], vm.ID) {
			continue
		}
		k.following[stream] = vm.ID
		return vm, true
	}
	return chervilladder.VM{}, false
}

// release records that a stream follows no peer any more, and whether the peer was
// lost.
func (k *Controller) release(stream int, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if lost {
		k.lost[k.following[stream]] = k.c.Clock()
	}
	k.following[stream] = ""
}

// wanted reports whether a peer is still to be followed.
func (k *Controller) wanted(peer chervilladder.VM) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.sources, peer)
}

// runStream follows one peer at a time while there are peers to follow. It updates the
// sources first: those of the last check may be from before the store's first answer.
func (k *Controller) runStream(ctx context.Context, stream int) {
	for pause(ctx, checkEvery) {
		k.updateSources()
		if peer, ok := k.nextSource(stream); ok {
			k.followUntilEnd(ctx, stream, peer)
		}
	}
}

// followUntilEnd follows a peer and then releases it. A panic counts as the peer's loss,
// so that its next updates come from another one.
func (k *Controller) followUntilEnd(ctx context.Context, stream int, peer chervilladder.VM) {
	ended := peerLost
	defer func() { k.release(stream, ended != notWanted && ctx.Err() == nil) }()
	ended = k.followPeer(ctx, peer, stream > 0 && !k.drainsUnknown())
	if ended == peerNewer {
		ended = k.followPeer(ctx, peer, false)
	}
}

// endReason says why a peer is no longer followed.
type endReason uint8

// The reasons for which following a peer ends.
const (
	peerLost endReason = iota
	notWanted
	// peerNewer means that a peer that sends heartbeats only has newer revisions.
	peerNewer
)

// followPeer follows a peer until the peer is lost, no longer needed or, if it sends
// heartbeats only, has newer revisions than this VM. It returns the reason.
func (k *Controller) followPeer(ctx context.Context, peer chervilladder.VM, heartbeatsOnly bool) endReason {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := peerLost
	silent := time.AfterFunc(silenceTimeout, cancel)
	defer silent.Stop()
	log := k.c.Log.WithField("peer", peer.ID)
	var list upstreams
	behind := 0
	have, asksDrains := k.c.Board.KnownRevisions(), k.drainsUnknown()
	if asksDrains {
		have.Upstreams = chervilladder.StoreRevision{} // the whole list says for how long they drain
	}
	err := k.c.Feeds.Follow(ctx, peer.Peer, chervilladder.Following{Have: have, HeartbeatsOnly: heartbeatsOnly}, func(update chervilladder.StoreUpdate) {
		silent.Reset(silenceTimeout)
		var err error
		if list, err = k.receive(update, list); err != nil {
			log.WithError(err).Warn("relay: malformed update from a peer")
			cancel()
		}
		if known := k.c.Board.KnownRevisions(); known.Covers(update.Has.In(known.Era())) {
			behind = 0
		} else {
			behind++
		}
		switch {
		case update.Age >= maxPeerAge:
			cancel() // the peer itself has lost the store
		case !k.wanted(peer):
			ended = notWanted
			cancel()
		case asksDrains && list != nil && !k.drainsLearned():
			cancel() // another peer may know them
		case heartbeatsOnly && behind >= behindHeartbeats:
			ended = peerNewer
			cancel()
		}
	})
	if ended == peerLost {
		log.WithError(err).Debug("relay: no longer following a lost peer")
	}
	return ended
}

// receive applies a peer's update, and returns the peer's list of upstreams.
func (k *Controller) receive(update chervilladder.StoreUpdate, list upstreams) (upstreams, error) {
	k.receiving.Lock()
	defer k.receiving.Unlock()
	received, newer, learned := k.c.Board.PeerKnowledge.Load(), false, false
	known := k.c.Board.KnownRevisions()
	has := update.Has.In(known.Era())
	if len(update.Routing) > 0 {
		r, err := decodeRouting(update.Routing)
		if err != nil {
			return list, err
		}
		r.Revision.Era = has.Routing.Era
		if newest := chervilladder.NewestRouting(received.Routing, r); newest != received.Routing {
			received.Routing, newer = newest, true
		}
	}
	if len(update.Upstreams) > 0 {
		next, change, err := list.apply(update.Upstreams)
		if err != nil {
			return list, err
		}
		list = next
		if drains := k.drainsOf(change, list, received.Drains); len(drains) > 0 {
			received.Drains, learned = drains, true
		}
		revision := change.At
		if revision.Era = has.Upstreams.Era; revision.After(received.UpstreamsRevision) {
			newer = true
			received.UpstreamsRevision, received.Upstreams = revision, make([]chervilladder.Registered, 0, len(list))
			for _, r := range list {
				received.Upstreams = append(received.Upstreams, r)
			}
		}
	}
	if newer || learned {
		k.c.Board.PeerKnowledge.Store(received)
	}
	if newer {
		k.c.Log.WithFields(logrus.Fields{"upstreams": len(received.Upstreams), "upstreams-at": received.UpstreamsRevision}).Info("relay: newer contents received from a peer")
	}
	if newer {
		known = known.Later(chervilladder.KnownRevisions{Upstreams: received.UpstreamsRevision})
		if received.Routing != nil {
			known = known.Later(chervilladder.KnownRevisions{Routing: received.Routing.Revision, Version: received.Routing.Version})
		}
	}
	if known.Covers(has) {
		k.c.Board.PeerConfirmedAt.Raise(k.c.Clock().Add(-update.Age))
	}
	return list, nil
}

// drainsOf returns since when upstreams of a peer's list drain, by the peer's change of it.
// What peers have said before of upstreams of the list stays if it is earlier.
func (k *Controller) drainsOf(c listChange, list upstreams, before map[chervilladder.UpstreamID]blackboard.Drain) map[chervilladder.UpstreamID]blackboard.Drain {
	now := k.c.Clock()
	drains := make(map[chervilladder.UpstreamID]blackboard.Drain, len(c.DrainingFor))
	for id, old := range before {
		if r := list[id]; r.Draining && r.Born.Equal(old.Born) {
			drains[id] = old
		}
	}
	for id, lasted := range c.DrainingFor {
		d := blackboard.Drain{Born: list[id].Born, Since: now.Add(-lasted)}
		if old, known := drains[id]; !known || d.Since.Before(old.Since) {
			drains[id] = d
		}
	}
	return drains
}

// drainsLearned reports whether peers have said since when the upstreams drain of which
// this VM doesn't know it.
func (k *Controller) drainsLearned() bool {
	drains := k.c.Board.PeerKnowledge.Load().Drains
	for id, e := range k.c.Board.Upstreams.Load().ByID {
		if d, known := drains[id]; e.DrainAssumed && e.Primary && (!known || !d.Born.Equal(e.Born)) {
			return false
		}
	}
	return true
}

// drainsUnknown reports whether peers are to be asked since when upstreams drain.
func (k *Controller) drainsUnknown() bool {
	return k.c.Clock().Before(k.c.Board.Upstreams.Load().AskDrainsUntil)
}
