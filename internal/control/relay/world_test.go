package relay_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/registry"
	"github.com/chervilladder/chervilladder/internal/control/relay"
	"github.com/chervilladder/chervilladder/internal/control/routing"
)

// drainBound is how long an upstream's drain lasts.
const drainBound = 7 * time.Second

var errRejected = errors.New("connection rejected")

// store is a platform store whose contents the tests change.
type store struct {
	mu        sync.Mutex
	revision  chervilladder.StoreRevision
	routing   *chervilladder.Routing
	upstreams []chervilladder.Registered
	vms       map[chervilladder.VMID]chervilladder.VM
	calls     atomic.Int64
}

// route replaces the configuration by one with a single database.
func (s *store) route(db chervilladder.DatabaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Revision++
	s.routing = &chervilladder.Routing{Revision: s.revision, Routes: map[chervilladder.DatabaseID]chervilladder.Route{db: {Database: db, Timeout: time.Second}}}
}

// register replaces the registered upstreams.
func (s *store) register(ids ...chervilladder.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Revision++
	s.upstreams = nil
	for _, id := range ids {
		s.upstreams = append(s.upstreams, chervilladder.Registered{ID: id, Service: "s", Slots: 2, Born: time.UnixMilli(7)})
	}
}

// drain has an upstream, a primary, report that it is draining.
func (s *store) drain(id chervilladder.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Revision++
	s.upstreams = slices.Clone(s.upstreams)
	for i := range s.upstreams {
		if u := &s.upstreams[i]; u.ID == id {
			u.Draining, u.Primary = true, true
		}
	}
}

// forget removes a VM from the store's list.
func (s *store) forget(id chervilladder.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, id)
}

// drill brings the store back from a copy of its revision some changes ago, in which the
// given upstreams are registered.
func (s *store) drill(changes chervilladder.Revision, ids ...chervilladder.UpstreamID) {
	s.mu.Lock()
	s.revision.Era++
	s.revision.Revision -= changes
	restored := *s.routing
	restored.Revision = s.revision
	s.routing = &restored
	s.mu.Unlock()
	s.register(ids...)
}

// storeLink is one VM's connection to the store.
type storeLink struct {
	s  *store
	mu sync.Mutex
	// rejects is set while the store rejects the VM's calls.
	rejects bool
}

func (v *storeLink) setRejects(rejects bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejects = rejects
}

// call counts a call and locks the store, or fails if it rejects the VM.
func (v *storeLink) call() (func(), error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.s.calls.Add(1)
	if v.rejects {
		return nil, errRejected
	}
	v.s.mu.Lock()
	return v.s.mu.Unlock, nil
}

func (v *storeLink) Current(context.Context) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	done, err := v.call()
	if err != nil {
		return nil, chervilladder.StoreRevision{}, err
	}
	defer done()
	return v.s.routing, v.s.revision, nil
}

// Next returns a new configuration at once, and doesn't respond until its wait ends
// while the store rejects the VM.
func (v *storeLink) Next(_ context.Context, after chervilladder.StoreRevision, wait time.Duration) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	v.s.calls.Add(1)
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := v.newer(after); r != nil {
			return r, r.Revision, nil
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rejects {
		return nil, after, errRejected
	}
	return nil, after, nil
}

// newer returns the configuration if it is newer than a revision and the store
// doesn't reject the VM.
func (v *storeLink) newer(than chervilladder.StoreRevision) *chervilladder.Routing {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if v.rejects || !v.s.routing.Revision.After(than) {
		return nil
	}
	return v.s.routing
}

func (v *storeLink) List(context.Context) ([]chervilladder.Registered, chervilladder.StoreRevision, error) {
	done, err := v.call()
	if err != nil {
		return nil, chervilladder.StoreRevision{}, err
	}
	defer done()
	return v.s.upstreams, v.s.revision, nil
}

// Watch always ends with HistoryLostError, so that each reader lists again.
func (v *storeLink) Watch(_ context.Context, after chervilladder.StoreRevision, wait time.Duration) ([]chervilladder.RegistryEvent, chervilladder.StoreRevision, error) {
	time.Sleep(wait)
	return nil, after, &chervilladder.HistoryLostError{After: after}
}

func (v *storeLink) VMs(context.Context) ([]chervilladder.VM, error) {
	done, err := v.call()
	if err != nil {
		return nil, err
	}
	defer done()
	var list []chervilladder.VM
	for _, vm := range v.s.vms {
		list = append(list, vm)
	}
	return list, nil
}

func (v *storeLink) Announce(_ context.Context, vm chervilladder.VM) error {
	done, err := v.call()
	if err != nil {
		return err
	}
	defer done()
	v.s.vms[vm.ID] = vm
	return nil
}

func (v *storeLink) Remove(_ context.Context, id chervilladder.VMID) error {
	done, err := v.call()
	if err != nil {
		return err
	}
	defer done()
	delete(v.s.vms, id)
	return nil
}

// vm is one VM with the controllers that read and relay the store's contents.
type vm struct {
	link  *storeLink
	board *blackboard.Board
	relay *relay.Controller
	// isolated is set while the VM and its peers don't reach each other.
	isolated atomic.Bool
}

// fleet is a set of VMs and the connections between them.
type fleet struct {
	vms map[chervilladder.Address]*vm
	// starting guards vms while a VM starts.
	starting sync.Mutex
	// follows counts the calls to follow a peer for changes, bytes the payload
	// bytes that peers have sent.
	follows, bytes atomic.Int64
	// partitioned is set while no peer responds.
	partitioned atomic.Bool
	// eraless is set while peers neither tell eras nor are told any, as earlier builds.
	eraless atomic.Bool
	// start starts a further VM.
	start func(chervilladder.VMID) *vm
}

// peerLink is one VM's connection to its peers.
type peerLink struct {
	*fleet
	from *vm
}

// vmAt returns the VM at an address.
func (f *fleet) vmAt(a chervilladder.Address) *vm {
	f.starting.Lock()
	defer f.starting.Unlock()
	return f.vms[a]
}

// Follow calls the peer's SendUpdates directly.
func (f peerLink) Follow(ctx context.Context, peer chervilladder.Address, following chervilladder.Following, receive func(chervilladder.StoreUpdate)) error {
	if !following.HeartbeatsOnly { // else it may be a health check
		f.follows.Add(1)
	}
	if f.eraless.Load() {
		following.Have = withoutEras(following.Have)
	}
	to := f.vmAt(peer)
	return to.relay.SendUpdates(ctx, following, func(update chervilladder.StoreUpdate) error {
		if f.eraless.Load() {
			update.Has = withoutEras(update.Has)
		}
		if f.partitioned.Load() || f.from.isolated.Load() || to.isolated.Load() {
			return errRejected
		}
		f.bytes.Add(int64(len(update.Routing) + len(update.Upstreams)))
		receive(update)
		return nil
	})
}

func withoutEras(k chervilladder.KnownRevisions) chervilladder.KnownRevisions {
	k.Routing.Era, k.Upstreams.Era = 0, 0
	return k
}

func testWithVMs(t *testing.T, size int, f func(is *is.I, s *store, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		s, all := &store{vms: make(map[chervilladder.VMID]chervilladder.VM)}, &fleet{vms: make(map[chervilladder.Address]*vm)}
		s.route("first")
		s.register("a", "b")
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(context.Background())
		var parts errgroup.Group
		all.start = func(id chervilladder.VMID) *vm {
			v := &vm{link: &storeLink{s: s}, board: blackboard.New(chervilladder.VM{ID: id, Peer: chervilladder.Address(id)})}
			v.board.Bounds.Store(chervilladder.Bounds{UpstreamDrain: drainBound})
			all.starting.Lock()
			all.vms[v.board.Self.Peer] = v
			all.starting.Unlock()
			routes, err1 := routing.New(routing.Config{Board: v.board, Source: v.link, Log: log, Clock: time.Now})
			upstreams, err2 := registry.New(registry.Config{Board: v.board, Source: v.link, Log: log, Clock: time.Now})
			relays, err3 := relay.New(relay.Config{Board: v.board, Directory: v.link, Feeds: peerLink{all, v}, Log: log, Clock: time.Now})
			v.relay = relays
			if err := errors.Join(err1, err2, err3); err != nil {
				t.Fatal(err)
			}
			parts.Go(func() error { return routes.Run(ctx) })
			parts.Go(func() error { return upstreams.Run(ctx) })
			parts.Go(func() error { return relays.Run(ctx) })
			return v
		}
		for i := range size {
			all.start(chervilladder.VMID(rune('a' + i)))
		}
		time.Sleep(20 * time.Second)
		f(is.New(t), s, all)
		stop()
		if err := parts.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// knows reports whether a VM has a route for a database and exactly these upstreams.
func (v *vm) knows(db chervilladder.DatabaseID, ids ...chervilladder.UpstreamID) bool {
	u := v.board.Upstreams.Load()
	for _, id := range ids {
		if _, ok := u.ByID[id]; !ok {
			return false
		}
	}
	_, ok := v.board.Routing.Load().Routes[db]
	return ok && len(u.ByID) == len(ids)
}
