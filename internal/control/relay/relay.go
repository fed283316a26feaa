// Package relay distributes the contents of the platform's store from the VMs that
// read it to those that don't read or can't reach it. Only daemon.RunOnPlatform starts
// it; daemon.Run starts packages configuration and membership instead.
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
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Intervals of the controller.
const (
	// minListEvery is the mean time between two reads of the list of VMs
	// while there are few. With more VMs it is listEveryPerVM for each. The
	// interval starts at firstListEvery, since all VMs may start together.
	minListEvery   = 10 * time.Second
	listEveryPerVM = 100 * time.Millisecond
	firstListEvery = 500 * time.Millisecond
	// minListPause is the least time between two reads of the list.
	minListPause = 500 * time.Millisecond
	// maxListCall is how long a read of the list may take.
	maxListCall = time.Second
	// announceRetry is the mean pause after a failed announcement.
	announceRetry = 2 * time.Second
)

// part names this package in reports of panics.
const part recovery.Part = "relay"

// Config configures a Controller.
type Config struct {
	Board     *blackboard.Board
	Directory chervilladder.Directory
	Feeds     chervilladder.Feeds
	Log       *logrus.Logger
	// Clock returns the VM's own time.
	Clock func() time.Time
}

// Controller is the one writer of the board's Published, Members, Peers, ListedAt,
// ListedBefore, StoreAccess, PeerConfirmedAt and PeerKnowledge in a VM started with
// daemon.RunOnPlatform. It sends peers what the blackboard holds of the store, and follows
// them while this VM doesn't read the store itself.
type Controller struct {
	c Config

	mu sync.Mutex
	// readers are the readers that this VM follows, if it follows any;
	// isReader is set while it is a reader itself.
	readers  []chervilladder.VM
	isReader bool
	// storeUnavailable is set while the store doesn't answer. sources are the
	// peers to follow now.
	storeUnavailable bool
	sources          []chervilladder.VM
	// era is the latest era of the store that is known.
	era chervilladder.Era
	// following is the peer of each stream, lost when each peer was last lost.
	following [streams]chervilladder.VMID
	lost      map[chervilladder.VMID]time.Time

	// receiving serialises the updates of two peers.
	receiving sync.Mutex
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Directory == nil || c.Feeds == nil || c.Log == nil || c.Clock == nil {
		return nil, errors.New("relay: a board, a directory, feeds, a log and a clock are needed")
	}
	return &Controller{c: c, lost: make(map[chervilladder.VMID]time.Time)}, nil
}

// Run runs the parts of the controller until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	run := func(f func(context.Context)) { recovery.Go(ctx, &parts, k.c.Log, part, f) }
	run(k.encodeRouting)
	run(k.followDirectory)
	run(k.chooseReaders)
	run(k.checkPeers)
	for stream := range streams {
		run(func(ctx context.Context) { k.runStream(ctx, stream) })
	}
	parts.Wait()
	return nil
}

// followDirectory announces this VM and follows the list of VMs. Peers remove this
// VM from the list when they can't reach it for removeAfter, so it announces itself
// again when it is missing.
func (k *Controller) followDirectory(ctx context.Context) {
	if k.c.Board.Bounds.Load().QuotaWindow > 0 { // only quotas depend on it
		vms, err := k.c.Directory.VMs(ctx)
		k.c.Board.ListedBefore.Store(err == nil && k.contained(vms))
	}
	if !k.announce(ctx) {
		return
	}
	listed := false
	for wait := firstListEvery; ; wait = min(2*wait, k.listEvery()) {
		requested := k.c.Clock()
		vms, err := k.c.Directory.VMs(ctx)
		if err == nil {
			k.setPeers(k.others(vms))
			present := k.contained(vms)
			if present {
				k.c.Board.ListedAt.Raise(requested)
			}
			if listed && !present && !k.announce(ctx) {
				return
			}
			listed = listed || present
		} else if ctx.Err() == nil {
			k.c.Log.WithError(err).Debug("relay: could not read the list of VMs")
		}
		if !k.awaitListRead(ctx, retry.Jitter(wait)) {
			return
		}
	}
}

// awaitListRead waits for a duration, or until a read of the list is asked for, but at
// least for minListPause. It returns false if the context ends first.
func (k *Controller) awaitListRead(ctx context.Context, d time.Duration) bool {
	asked := k.c.Board.ListTrigger.Watch()
	first := min(d, minListPause)
	if !pause(ctx, first) {
		return false
	}
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-asked:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// contained reports whether a list contains this VM.
func (k *Controller) contained(vms []chervilladder.VM) bool {
	return slices.ContainsFunc(vms, func(v chervilladder.VM) bool { return v.ID == k.c.Board.Self.ID })
}

// announce adds this VM to the list. It returns false if the context ends first.
func (k *Controller) announce(ctx context.Context) bool {
	for k.c.Directory.Announce(ctx, k.c.Board.Self) != nil {
		if !pause(ctx, retry.Jitter(announceRetry)) {
			return false
		}
	}
	return true
}

// listEvery returns the mean time between two reads of the list of VMs.
func (k *Controller) listEvery() time.Duration { return listEvery(len(k.c.Board.Peers.Load())) }

// listEvery returns the mean time between two reads of a list of VMs. It grows with the
// list, which is then longer and read by more VMs.
func listEvery(vms int) time.Duration {
	return max(minListEvery, time.Duration(vms)*listEveryPerVM)
}

// MaxListAge returns the greatest age of a VM's list of VMs while the VM reaches the store.
func MaxListAge(vms int) time.Duration {
	return listEvery(vms)*3/2 + maxListCall // retry.Jitter adds up to half
}

// setPeers writes the list to the blackboard if it has changed.
func (k *Controller) setPeers(peers []chervilladder.VM) {
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

// others returns the other VMs, ordered by id.
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

// pause waits for a duration. It returns false if the context ends first.
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
