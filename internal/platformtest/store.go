// Package platformtest provides a small in-memory platform for tests, which
// simulates the faults of the real one.
package platformtest

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

var _ chervilladder.Platform = (*Store)(nil)

// Faults are the faults that a Store simulates. The zero value has none.
type Faults struct {
	// Down fails every call before it has an effect.
	Down bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LoseResponses is how many of the next puts take effect but lose their
	// responses.
	LoseResponses int
	// LosePuts is how many of the next puts are lost without effect, which
	// the caller can't distinguish from a lost response.
	LosePuts int
	// BeforePut runs before each put, outside the store's lock. Its error
	// fails the put before it has an effect. The caller may retry the put.
	BeforePut func(chervilladder.Object) error
}

type objectKey struct {
	kind chervilladder.ObjectKind
	name chervilladder.ObjectName
}

// Store is an in-memory platform. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	objects map[objectKey]chervilladder.Object
	version chervilladder.Version
	vms     []chervilladder.VM
	calls   int
	// changed is closed and replaced on each change, to wake watches.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[objectKey]chervilladder.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms ...chervilladder.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

var (
	errDown = errors.New("down")
	errLost = errors.New("response lost")
)

// begin counts a call and applies the faults that affect every call.
func (s *Store) begin(ctx context.Context, operation string) error {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return &chervilladder.PlatformError{Operation: operation, Err: err}
	}
	if faults.Down {
		return &chervilladder.PlatformError{Operation: operation, Err: errDown}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get returns an object.
func (s *Store) Get(ctx context.Context, kind chervilladder.ObjectKind, name chervilladder.ObjectName) (chervilladder.Object, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return chervilladder.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return chervilladder.Object{}, &chervilladder.NotFoundError{Kind: kind, Name: name}
	}
	return o, nil
}

// Put writes an object if its version is the current one.
func (s *Store) Put(ctx context.Context, o chervilladder.Object) (chervilladder.Version, error) {
	if err := s.begin(ctx, "put"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	before := s.faults.BeforePut
	s.mu.Unlock()
	if before != nil {
		if err := before(o); err != nil {
			return 0, &chervilladder.PlatformError{Operation: "put", Err: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LosePuts > 0 {
		s.faults.LosePuts--
		return 0, &chervilladder.PlatformError{Operation: "put", Unknown: true, Err: errLost}
	}
	return s.put(o)
}

func (s *Store) put(o chervilladder.Object) (chervilladder.Version, error) {
	k := objectKey{o.Kind, o.Name}
	stored, ok := s.objects[k]
	if !ok {
		stored = chervilladder.Object{Kind: o.Kind, Name: o.Name}
	}
	if stored.Version != o.Version {
		return 0, &chervilladder.ConflictError{Current: stored}
	}
	s.version++
	o.Version = s.version
	o.Value = slices.Clone(o.Value)
	s.objects[k] = o
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return 0, &chervilladder.PlatformError{Operation: "put", Unknown: true, Err: errLost}
	}
	return o.Version, nil
}

// Watch waits until an object of a kind is newer than a version, or until the
// context ends, and returns the newer objects.
func (s *Store) Watch(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, error) {
	if err := s.begin(ctx, "watch"); err != nil {
		return nil, err
	}
	for {
		objects, changed := s.newerThan(kind, after)
		if len(objects) > 0 {
			return objects, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// newerThan returns the objects of a kind that are newer than a version, oldest first,
// and a channel that is closed on the next change.
func (s *Store) newerThan(kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []chervilladder.Object
	for o := range maps.Values(s.objects) {
		if o.Kind == kind && o.Version > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b chervilladder.Object) int { return cmp.Compare(a.Version, b.Version) })
	return found, s.changed
}

// VMs returns the list of VMs.
func (s *Store) VMs(ctx context.Context) ([]chervilladder.VM, error) {
	if err := s.begin(ctx, "vms"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}
