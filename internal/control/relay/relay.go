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

// Controller is the one writer of the board's Published, Members, Peers and Heard
// on the prepared platform.
type Controller struct {
	c Config
	// away is set while the store is away and peers are asked.
	away bool
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
		away := k.c.Clock().Sub(k.c.Board.StoreAnswered.Load()) >= awayAfter
		if away != k.away {
			k.away = away
			k.c.Log.WithFields(logrus.Fields{"asking": away, "peers": len(k.c.Board.Peers.Load())}).Info("relay: peers are asked for what the store can't tell")
		}
		if away {
			k.askOne(ctx)
		}
	}
}

// askOne asks a peer, drawn anew each time, for what is newer than this VM knows.
func (k *Controller) askOne(ctx context.Context) {
	peers := k.c.Board.Peers.Load()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(min(len(peers), maxPeers))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := k.c.Relay.Pull(ctx, peer.Peer, k.c.Board.Knowledge().Revision())
	if err != nil || len(r.Encoded) == 0 {
		return // the next one is asked soon
	}
	heard, err := decode(r.Encoded)
	log := k.c.Log.WithField("peer", peer.ID)
	if err != nil {
		log.WithError(err).Warn("relay: what a peer told can't be read")
		return
	}
	k.c.Board.Heard.Store(heard)
	log.WithFields(logrus.Fields{"revision": heard.Revision(), "upstreams": len(heard.Upstreams), "upstreams-at": heard.UpstreamsAt}).Info("relay: learnt from a peer")
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
