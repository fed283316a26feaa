package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/reading"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

// The pace of a follower.
const (
	// streams is how many peers are followed at a time. The first one tells
	// the news, the other one how old its own knowledge is: whether the first
	// has lost the store is not noticed at once. It is asked for news too once
	// it knows more than this VM for behindBeats of its beats.
	streams     = 2
	behindBeats = 2
	// lookEvery is how often it is looked whether peers are to be followed.
	lookEvery = 100 * time.Millisecond
	// awayAfter is how long the store must have answered nothing before all
	// peers are asked. Watches that hear nothing end sooner.
	awayAfter = 2500 * time.Millisecond
	// lostAfter is how old the word of a peer may be that is followed: longer
	// than its own watches wait.
	lostAfter = 4 * time.Second
	// silentAfter is how long a peer may tell nothing, which it does several
	// times in that time.
	silentAfter = 900 * time.Millisecond
	// shunFor is for how long a peer that was lost is not followed again.
	shunFor = 3 * time.Second
)

// maxPeers is how many peers are asked at most while the store is away. Each costs
// a connection.
const maxPeers = 8

// decide says again and again whether this VM reads the store, and which peers it
// may follow.
func (k *Controller) decide(ctx context.Context) {
	for {
		peers, changed := k.c.Board.Peers.Watch()
		self := k.c.Board.Self
		readers := reading.Readers(append([]chervilladder.VM{self}, peers...))
		reads := slices.ContainsFunc(readers, func(vm chervilladder.VM) bool { return vm.ID == self.ID })
		if reads {
			readers = nil
		}
		k.may(reading.Sources(self, readers), reads)
		k.settle()
		t := time.NewTimer(lookEvery)
		for again := true; again; {
			select {
			case <-changed:
				again = false
			case <-t.C:
				k.settle()
				t.Reset(lookEvery)
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
		t.Stop()
	}
}

// may notes which readers this VM follows, if it follows any, and whether it is
// one itself.
func (k *Controller) may(readers []chervilladder.VM, reads bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readers, k.reads = readers, reads
}

// settle says on the board whether this VM reads the store, and notes whom it
// follows.
func (k *Controller) settle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.c.Clock()
	next := blackboard.Reading{ForOthers: k.reads}
	follows := len(k.readers) > 0
	if follows {
		next.Elsewhere = now.Sub(k.c.Board.Told.Load()) < reading.Stale(k.c.Board.Bounds.Load().ConfigInForce)
	}
	if before := k.c.Board.Reading.Load(); before != next {
		k.c.Board.Reading.Store(next)
		k.c.Log.WithFields(logrus.Fields{
			"elsewhere": next.Elsewhere, "for-others": next.ForOthers, "readers": len(k.readers),
		}).Info("relay: who reads the store")
	}
	away := now.Sub(k.c.Board.StoreAnswered()) >= awayAfter
	if follows {
		away = away && now.Sub(k.c.Board.Told.Load()) >= awayAfter
	}
	if away != k.away {
		k.away = away
		k.c.Log.WithFields(logrus.Fields{"asking": away, "peers": len(k.c.Board.Peers.Load())}).Info("relay: peers are asked for what the store can't tell")
	}
	k.sources = k.readers
	if away {
		k.sources = append(slices.Clone(k.readers), k.anyPeers()...)
	}
}

// anyPeers returns the peers to follow while the store is away, others for each VM.
func (k *Controller) anyPeers() []chervilladder.VM {
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

// source returns the peer that a stream is to follow now.
func (k *Controller) source(stream int) (chervilladder.VM, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.c.Clock()
	for _, vm := range k.sources {
		if lost, ok := k.lost[vm.ID]; ok && now.Sub(lost) < shunFor || slices.Contains(k.using[:], vm.ID) {
			continue
		}
		k.using[stream] = vm.ID
		return vm, true
	}
	return chervilladder.VM{}, false
}

// left notes that a stream follows nobody, and whether the peer was lost.
func (k *Controller) left(stream int, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if lost {
		k.lost[k.using[stream]] = k.c.Clock()
	}
	k.using[stream] = ""
}

// wanted reports whether a peer is still to be followed.
func (k *Controller) wanted(peer chervilladder.VM) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.sources, peer)
}

// listen follows one peer after the other, as long as there are some to follow.
func (k *Controller) listen(ctx context.Context, stream int) {
	for pause(ctx, lookEvery) {
		if peer, ok := k.source(stream); ok {
			ended := k.follow(ctx, peer, stream > 0)
			if ended == moreKnown {
				ended = k.follow(ctx, peer, false)
			}
			k.left(stream, ended == peerLost && ctx.Err() == nil)
		}
	}
}

// end says why a peer is followed no more.
type end uint8

// The ends of following a peer.
const (
	peerLost end = iota
	notWanted
	// moreKnown is a peer that was asked for beats only and knows more.
	moreKnown
)

// follow follows a peer until there is an end to it.
func (k *Controller) follow(ctx context.Context, peer chervilladder.VM, beatsOnly bool) end {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := peerLost
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	log := k.c.Log.WithField("peer", peer.ID)
	var list upstreams
	behind := 0
	err := k.c.Feeds.Follow(ctx, peer.Peer, chervilladder.Following{Have: k.c.Board.KnownAt(), BeatsOnly: beatsOnly}, func(n chervilladder.News) {
		silent.Reset(silentAfter)
		var err error
		if list, err = k.hear(n, list); err != nil {
			log.WithError(err).Warn("relay: what a peer told can't be read")
			cancel()
		}
		if k.c.Board.KnownAt().Covers(n.Has) {
			behind = 0
		} else {
			behind++
		}
		switch {
		case n.Age >= lostAfter:
			cancel() // it has lost the store itself
		case !k.wanted(peer):
			ended = notWanted
			cancel()
		case beatsOnly && behind >= behindBeats:
			ended = moreKnown
			cancel()
		}
	})
	if ended == peerLost {
		log.WithError(err).Debug("relay: peer lost")
	}
	return ended
}

// hear takes over what a peer tells, and returns its list of upstreams.
func (k *Controller) hear(n chervilladder.News, list upstreams) (upstreams, error) {
	k.hearing.Lock()
	defer k.hearing.Unlock()
	heard, newer := k.c.Board.Heard.Load(), false
	if len(n.Routing) > 0 {
		r, err := decodeRouting(n.Routing)
		if err != nil {
			return list, err
		}
		if heard.Routing == nil || r.Revision > heard.Routing.Revision {
			heard.Routing, newer = r, true
		}
	}
	if len(n.Upstreams) > 0 {
		next, at, err := list.apply(n.Upstreams)
		if err != nil {
			return list, err
		}
		list = next
		if at > heard.UpstreamsAt {
			newer = true
			heard.UpstreamsAt, heard.Upstreams = at, make([]chervilladder.Registered, 0, len(list))
			for _, r := range list {
				heard.Upstreams = append(heard.Upstreams, r)
			}
		}
	}
	if newer {
		k.c.Board.Heard.Store(heard)
		k.c.Log.WithFields(logrus.Fields{"upstreams": len(heard.Upstreams), "upstreams-at": heard.UpstreamsAt}).Info("relay: learnt from a peer")
	}
	known := k.c.Board.KnownAt()
	if newer {
		known = known.Later(chervilladder.KnownAt{Upstreams: heard.UpstreamsAt})
		if heard.Routing != nil {
			known = known.Later(chervilladder.KnownAt{Routing: heard.Routing.Revision})
		}
	}
	if known.Covers(n.Has) {
		k.c.Board.Told.Raise(k.c.Clock().Add(-n.Age))
	}
	return list, nil
}
