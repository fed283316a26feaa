package relay_test

import (
	"context"
	"errors"
	"io"
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

var errTurnedAway = errors.New("turned away")

// store is the platform's store, of which tests change the contents.
type store struct {
	mu        sync.Mutex
	revision  chervilladder.Revision
	routing   *chervilladder.Routing
	upstreams []chervilladder.Registered
	vms       map[chervilladder.VMID]chervilladder.VM
	calls     atomic.Int64
}

// route puts a configuration with one database in place.
func (s *store) route(db chervilladder.DatabaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.routing = &chervilladder.Routing{Revision: s.revision, Routes: map[chervilladder.DatabaseID]chervilladder.Route{db: {Database: db, Timeout: time.Second}}}
}

// register replaces the registered upstreams.
func (s *store) register(ids ...chervilladder.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.upstreams = nil
	for _, id := range ids {
		s.upstreams = append(s.upstreams, chervilladder.Registered{ID: id, Service: "s", Slots: 2, Born: time.UnixMilli(7)})
	}
}

// view is one VM's way to the store.
type view struct {
	s  *store
	mu sync.Mutex
	// away is set while the store turns the VM away.
	away bool
}

func (v *view) turnAway(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = away
}

// call locks the store unless the VM is turned away.
func (v *view) call() (func(), error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.s.calls.Add(1)
	if v.away {
		return nil, errTurnedAway
	}
	v.s.mu.Lock()
	return v.s.mu.Unlock, nil
}

func (v *view) Current(context.Context) (*chervilladder.Routing, chervilladder.Revision, error) {
	done, err := v.call()
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return v.s.routing, v.s.revision, nil
}

// Next tells of a new configuration at once, and falls silent while the VM is turned
// away.
func (v *view) Next(_ context.Context, after chervilladder.Revision, wait time.Duration) (*chervilladder.Routing, chervilladder.Revision, error) {
	v.s.calls.Add(1)
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := v.newer(after); r != nil {
			return r, r.Revision, nil
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return nil, after, errTurnedAway
	}
	return nil, after, nil
}

// newer returns a configuration that is newer than a revision, if there is one and
// the store tells the VM.
func (v *view) newer(than chervilladder.Revision) *chervilladder.Routing {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if v.away || v.s.routing.Revision <= than {
		return nil
	}
	return v.s.routing
}

func (v *view) List(context.Context) ([]chervilladder.Registered, chervilladder.Revision, error) {
	done, err := v.call()
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return v.s.upstreams, v.s.revision, nil
}

// Watch ends without news, so that each reader lists anew.
func (v *view) Watch(_ context.Context, after chervilladder.Revision, wait time.Duration) ([]chervilladder.RegistryEvent, chervilladder.Revision, error) {
	time.Sleep(wait)
	return nil, after, &chervilladder.HistoryLostError{After: after}
}

func (v *view) VMs(context.Context) ([]chervilladder.VM, error) {
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

func (v *view) Announce(_ context.Context, vm chervilladder.VM) error {
	done, err := v.call()
	if err != nil {
		return err
	}
	defer done()
	v.s.vms[vm.ID] = vm
	return nil
}

func (v *view) Remove(_ context.Context, id chervilladder.VMID) error {
	done, err := v.call()
	if err != nil {
		return err
	}
	defer done()
	delete(v.s.vms, id)
	return nil
}

// vm is one VM with the controllers that deal in knowledge.
type vm struct {
	view  *view
	board *blackboard.Board
	relay *relay.Controller
	// cut is set while the VM reaches no peer, and none it.
	cut atomic.Bool
}

// fleet is VMs that reach each other.
type fleet struct {
	vms map[chervilladder.Address]*vm
	// follows and bytes count what peers were asked for and have told.
	follows, bytes atomic.Int64
	// dark is set while no peer answers.
	dark atomic.Bool
}

// path is one VM's way to the others.
type path struct {
	*fleet
	from *vm
}

// Follow hears the peer as by its server.
func (f path) Follow(ctx context.Context, peer chervilladder.Address, following chervilladder.Following, hear func(chervilladder.News)) error {
	if !following.BeatsOnly { // else it may be a visit
		f.follows.Add(1)
	}
	return f.vms[peer].relay.Follow(ctx, following, func(n chervilladder.News) error {
		if f.dark.Load() || f.from.cut.Load() || f.vms[peer].cut.Load() {
			return errTurnedAway
		}
		f.bytes.Add(int64(len(n.Routing) + len(n.Upstreams)))
		hear(n)
		return nil
	})
}

func bubble(t *testing.T, size int, f func(is *is.I, s *store, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		s, all := &store{vms: make(map[chervilladder.VMID]chervilladder.VM)}, &fleet{vms: make(map[chervilladder.Address]*vm)}
		s.route("first")
		s.register("a", "b")
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(context.Background())
		var parts errgroup.Group
		for i := range size {
			id := chervilladder.VMID(rune('a' + i))
			v := &vm{view: &view{s: s}, board: blackboard.New(chervilladder.VM{ID: id, Peer: chervilladder.Address(id)})}
			all.vms[v.board.Self.Peer] = v
			routes, err1 := routing.New(routing.Config{Board: v.board, Source: v.view, Log: log, Clock: time.Now})
			upstreams, err2 := registry.New(registry.Config{Board: v.board, Source: v.view, Log: log, Clock: time.Now})
			relays, err3 := relay.New(relay.Config{Board: v.board, Directory: v.view, Feeds: path{all, v}, Log: log, Clock: time.Now})
			v.relay = relays
			if err := errors.Join(err1, err2, err3); err != nil {
				t.Fatal(err)
			}
			parts.Go(func() error { return routes.Run(ctx) })
			parts.Go(func() error { return upstreams.Run(ctx) })
			parts.Go(func() error { return relays.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		f(is.New(t), s, all)
		stop()
		if err := parts.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// knows reports whether a VM has a route and exactly these upstreams.
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
