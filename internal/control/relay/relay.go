// Package relay passes on what VMs know from the platform's store to those that
// don't reach it.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
	"github.com/chervilladder/chervilladder/internal/decide/retry"
)

// The pace of the controller.
const (
	// listEvery is the mean time between two looks at the list of VMs while
	// there are few; listEach is what each VM on it adds. The first looks
	// come sooner, since all VMs may start together.
	listEvery = 10 * time.Second
	listEach  = 100 * time.Millisecond
	firstLook = 500 * time.Millisecond
	// announceAgain is the mean pause after a failed announcement.
	announceAgain = 2 * time.Second
	// awayAfter is how long the store must have answered nothing before
	// peers are asked. Watches that hear nothing end sooner.
	awayAfter = 2500 * time.Millisecond
	// askEvery is how often a peer is asked while the store is away.
	askEvery = 500 * time.Millisecond
	// askTimeout bounds one question to a peer.
	askTimeout = 300 * time.Millisecond
)

// maxPeers is how many peers a VM asks at most. Each costs it a connection.
const maxPeers = 8

// Config configures a Controller.
type Config struct {
	Board     *blackboard.Board
	Directory chervilladder.Directory
	Relay     chervilladder.Relay
	Log       *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Published, Members, Peers,
// Reading and Heard on the prepared platform.
type Controller struct {
	c Config
	// asking is set while peers are asked, and told is when one last
	// answered, or when they were first asked.
	asking bool
	told   time.Time
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Directory == nil || c.Relay == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("relay: a board, a directory, a relay, a log and a clock are needed")
	}
	return &Controller{c: c}, nil
}

// Run passes knowledge on until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	parts := []func(context.Context){k.publish, k.list}
	ended := make(chan struct{})
	for _, part := range parts {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	k.ask(ctx)
	for range parts {
		<-ended
	}
	return nil
}

// publish offers peers what the board holds.
func (k *Controller) publish(ctx context.Context) {
	for {
		_, routed := k.c.Board.Routing.Watch()
		_, registered := k.c.Board.Upstreams.Watch()
		known := k.c.Board.Knowledge()
		encoded, err := encode(known)
		if err != nil {
			k.c.Log.WithError(err).Error("relay: knowledge not offered to peers")
		} else {
			k.c.Board.Published.Store(blackboard.Published{Revision: known.Revision(), Encoded: encoded})
		}
		select {
		case <-routed:
		case <-registered:
		case <-ctx.Done():
			return
		}
	}
}

// list announces this VM and follows the list of VMs.
func (k *Controller) list(ctx context.Context) {
	for k.c.Directory.Announce(ctx, k.c.Board.Self) != nil {
		if !pause(ctx, retry.Spread(announceAgain)) {
			return
		}
	}
	for wait := firstLook; ; wait = min(2*wait, k.listEvery()) {
		vms, err := k.c.Directory.VMs(ctx)
		if err == nil {
			k.note(k.others(vms))
		} else if ctx.Err() == nil {
			k.c.Log.WithError(err).Debug("relay: list of VMs not read")
		}
		if !pause(ctx, retry.Spread(wait)) {
			return
		}
	}
}

// listEvery returns the mean time between two looks at the list of VMs. The more
// there are, the longer each list and the more VMs that read it.
func (k *Controller) listEvery() time.Duration {
	return max(listEvery, time.Duration(len(k.c.Board.Peers.Load()))*listEach)
}

// note takes over a list that has changed.
func (k *Controller) note(peers []chervilladder.VM) {
	if k.c.Board.Members.Load().Members != nil && slices.Equal(peers, k.c.Board.Peers.Load()) {
		return
	}
	members := make(map[chervilladder.VMID]blackboard.Member, len(peers))
	for _, v := range peers {
		members[v.ID] = blackboard.Member{VM: v}
	}
	k.c.Board.Members.Store(blackboard.Membership{Members: members})
	k.c.Board.Peers.Store(peers)
}

// others returns the peers. Those that this VM asks come first: each VM asks
// others, and the same ones while the list stays the same.
func (k *Controller) others(vms []chervilladder.VM) []chervilladder.VM {
	self := k.c.Board.Self.ID
	byID := make(map[chervilladder.VMID]chervilladder.VM, len(vms))
	ids := make([]chervilladder.VMID, 0, len(vms))
	for _, v := range vms {
		if v.ID != self && v.Peer != "" {
			byID[v.ID] = v
			ids = append(ids, v.ID)
		}
	}
	list := make([]chervilladder.VM, 0, len(ids))
	for _, id := range rendezvous.Ranked(rendezvous.Task("relay/"+self), ids) {
		list = append(list, byID[id])
	}
	return list
}

// ask asks peers while the store answers nothing.
func (k *Controller) ask(ctx context.Context) {
	for pause(ctx, askEvery) {
		now := k.c.Clock()
		readers := k.readers()
		away := now.Sub(k.c.Board.StoreAnswered.Load()) >= awayAfter
		asking := away || len(readers) > 0
		if asking != k.asking {
			k.asking, k.told = asking, now
			k.c.Log.WithFields(logrus.Fields{"asking": asking, "peers": len(k.c.Board.Peers.Load()), "readers": len(readers)}).Info("relay: peers are asked for what is in the store")
		}
		if !asking {
			continue
		}
		if len(readers) == 0 {
			readers = k.c.Board.Peers.Load()
			readers = readers[:min(len(readers), maxPeers)]
		}
		if k.askOne(ctx, readers) {
			k.told = k.c.Clock()
		}
	}
}

// readers returns the peers that read the store for this VM, or none if it reads
// for itself. It does so too while they tell nothing.
func (k *Controller) readers() []chervilladder.VM {
	byID := make(map[chervilladder.VMID]chervilladder.VM)
	vms := []chervilladder.VMID{k.c.Board.Self.ID}
	for _, v := range k.c.Board.Peers.Load() {
		byID[v.ID] = v
		vms = append(vms, v.ID)
	}
	var list []chervilladder.VM
	ids := hosting.Readers(vms)
	if slices.Contains(ids, k.c.Board.Self.ID) {
		ids = nil
	}
	for _, id := range ids {
		list = append(list, byID[id])
	}
	elsewhere := len(list) > 0 && (!k.asking || k.c.Clock().Sub(k.told) < awayAfter)
	if elsewhere != k.c.Board.Reading.Load().Elsewhere {
		k.c.Board.Reading.Store(blackboard.Reading{Elsewhere: elsewhere})
	}
	return list
}

// askOne asks a peer, drawn anew each time, for what is newer than this VM knows,
// and reports whether the peer answered.
func (k *Controller) askOne(ctx context.Context, peers []chervilladder.VM) bool {
	if len(peers) == 0 {
		return false
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := k.c.Relay.Pull(ctx, peer.Peer, k.c.Board.Knowledge().Revision())
	if err != nil || len(r.Encoded) == 0 {
		return err == nil // another one is asked soon
	}
	heard, err := decode(r.Encoded)
	log := k.c.Log.WithField("peer", peer.ID)
	if err != nil {
		log.WithError(err).Warn("relay: what a peer told can't be read")
		return false
	}
	k.c.Board.Heard.Store(heard)
	log.WithFields(logrus.Fields{"revision": heard.Revision(), "upstreams": len(heard.Upstreams), "upstreams-at": heard.UpstreamsAt}).Info("relay: learnt from a peer")
	return true
}

// pause lets time pass, and reports whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
