// Package platformtest is a small platform in memory for tests, with the
// faults that the platform has.
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

// Faults are the faults of a Store. The zero value has none.
type Faults struct {
	// Down fails every call before it has an effect.
	Down bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LoseAnswers is how many of the next puts take effect while their
	// answers are lost.
	LoseAnswers int
	// LosePuts is how many of the next puts are lost without effect, which
	// the caller can't tell from a lost answer.
	LosePuts int
	// BeforePut runs before each put, outside the store's lock. Its error
	// fails the put, as if the caller had died.
	BeforePut func(chervilladder.Object) error
}

type key struct {
	kind chervilladder.ObjectKind
	name chervilladder.ObjectName
}

// Store is the platform's store. It is safe for use by several goroutines.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	objects map[key]chervilladder.Object
	version chervilladder.Version
	vms     []chervilladder.VM
	calls   int
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[key]chervilladder.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
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
	errLost = errors.New("answer lost")
)

// begin counts a call and applies the faults that concern all calls.
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
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return chervilladder.Object{}, &chervilladder.NotFoundError{Kind: kind, Name: name}
	}
	return o, nil
}

// Put writes an object under the condition of its version.
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
	k := key{o.Kind, o.Name}
	held, ok := s.objects[k]
	if !ok {
		held = chervilladder.Object{Kind: o.Kind, Name: o.Name}
	}
	if held.Version != o.Version {
		return 0, &chervilladder.ConflictError{Current: held}
	}
	s.version++
	o.Version = s.version
	o.Value = slices.Clone(o.Value)
	s.objects[k] = o
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, &chervilladder.PlatformError{Operation: "put", Unknown: true, Err: errLost}
	}
	return o.Version, nil
}

// Watch waits for a change after a version until the context ends.
func (s *Store) Watch(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, error) {
	if err := s.begin(ctx, "watch"); err != nil {
		return nil, err
	}
	for {
		objects, changed := s.after(kind, after)
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

func (s *Store) after(kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, <-chan struct{}) {
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
