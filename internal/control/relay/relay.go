// Package relay passes on what VMs know from the platform's store to those that
// don't reach it.
package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
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
)

// Config configures a Controller.
type Config struct {
	Board     *blackboard.Board
	Directory chervilladder.Directory
	Feeds     chervilladder.Feeds
	Log       *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Published, Members, Peers, Reading,
// Told and Heard on the prepared platform. It tells peers what the board holds of the
// store, and follows them where this VM doesn't read it.
type Controller struct {
	c Config

	mu sync.Mutex
	// readers are those that this VM follows, if it does; reads is set while
	// it is one.
	readers []chervilladder.VM
	reads   bool
	// away is set while the store is, sources are the peers to follow now.
	away    bool
	sources []chervilladder.VM
	// using is the peer of each stream, lost when a peer last was.
	using [streams]chervilladder.VMID
	lost  map[chervilladder.VMID]time.Time

	// hearing keeps the words of two peers apart.
	hearing sync.Mutex
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Directory == nil || c.Feeds == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("relay: a board, a directory, feeds, a log and a clock are needed")
	}
	return &Controller{c: c, lost: make(map[chervilladder.VMID]time.Time)}, nil
}

// Run passes knowledge on until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { k.publish(ctx) })
	parts.Go(func() { k.list(ctx) })
	parts.Go(func() { k.decide(ctx) })
	parts.Go(func() { k.visit(ctx) })
	for stream := range streams {
		parts.Go(func() { k.listen(ctx, stream) })
	}
	parts.Wait()
	return nil
}

// list announces this VM and follows the list of VMs. Peers that don't reach it for
// long take it out of the list, so it enters itself again when it is missing.
func (k *Controller) list(ctx context.Context) {
	if !k.announce(ctx) {
		return
	}
	listed := false
	for wait := firstLook; ; wait = min(2*wait, k.listEvery()) {
		vms, err := k.c.Directory.VMs(ctx)
		if err == nil {
			k.note(k.others(vms))
			present := slices.ContainsFunc(vms, func(v chervilladder.VM) bool { return v.ID == k.c.Board.Self.ID })
			if listed && !present && !k.announce(ctx) {
				return
			}
			listed = listed || present
		} else if ctx.Err() == nil {
			k.c.Log.WithError(err).Debug("relay: list of VMs not read")
		}
		if !pause(ctx, retry.Spread(wait)) {
			return
		}
	}
}

// announce enters this VM into the list, and reports whether the context goes on.
func (k *Controller) announce(ctx context.Context) bool {
	for k.c.Directory.Announce(ctx, k.c.Board.Self) != nil {
		if !pause(ctx, retry.Spread(announceAgain)) {
			return false
		}
	}
	return true
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

// others returns the peers in the order of their ids.
func (k *Controller) others(vms []chervilladder.VM) []chervilladder.VM {
	var list []chervilladder.VM
	for _, v := range vms {
		if v.ID != k.c.Board.Self.ID && v.Peer != "" {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b chervilladder.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
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
