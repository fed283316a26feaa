package routing_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/routing"
)

// source is a store with a configuration that the tests change.
type source struct {
	mu      sync.Mutex
	version uint64
	silent  bool // watches receive nothing and end by their timeout
	down    bool
	none    bool // there is no configuration yet
	reads   int  // calls of Current
	lost    bool // the store no longer has the history
	// staleVersion is the older version that Current returns instead, unless it is zero.
	staleVersion uint64
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

var errDown = errors.New("store is down")

// at returns a revision of the store of a store that tells no era.
func at(r uint64) chervilladder.StoreRevision {
	return chervilladder.StoreRevision{Revision: chervilladder.Revision(r)}
}

func (s *source) Current(context.Context) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, chervilladder.StoreRevision{}, errDown
	}
	if s.none {
		return nil, at(s.version), &chervilladder.NotFoundError{}
	}
	v := s.version
	if s.staleVersion != 0 {
		v = s.staleVersion
	}
	return &chervilladder.Routing{Revision: at(v)}, at(v), nil
}

func (s *source) Next(_ context.Context, after chervilladder.StoreRevision, wait time.Duration) (*chervilladder.Routing, chervilladder.StoreRevision, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		silent, down, lost, version := s.silent, s.down, s.lost, at(s.version)
		s.mu.Unlock()
		switch {
		case down:
			return nil, after, errDown
		case silent:
		case lost:
			s.set(func() { s.lost = false })
			return nil, after, &chervilladder.HistoryLostError{After: after}
		case version.After(after):
			return &chervilladder.Routing{Revision: version}, version, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil, after, context.DeadlineExceeded
	}
	return nil, after, nil
}

// start runs a controller until the returned function is called.
func start(t *testing.T, s *source, b chervilladder.Bounds) (*blackboard.Board, func()) {
	t.Helper()
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	board.Bounds.Store(b)
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := routing.New(routing.Config{Board: board, Source: s, Log: log, Clock: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	return board, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// A shorter bound in the settings must shorten the watches.
func TestConfigurationIsInForceWithinATighterBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bound = 1500 * time.Millisecond
		s := &source{version: 5}
		board, stop := start(t, s, chervilladder.Bounds{ConfigInForce: bound})
		defer stop()
		time.Sleep(2100 * time.Millisecond) // a watch of maxWait would just have started
		s.set(func() { s.silent, s.version = true, 9 })
		time.Sleep(bound)
		is.Equal(board.Routing.Load().Revision, at(9))
	})
}

// inForceWithin bounds how long a change of the configuration takes to be in force.
const inForceWithin = 3 * time.Second

func TestConfigurationIsInForceInTime(t *testing.T) {
	for name, fault := range map[string]func(*source){
		"no fault":       func(*source) {},
		"history lost":   func(s *source) { s.lost = true },
		"watches silent": func(s *source) { s.silent = true },
		"down for 2 s":   func(s *source) { s.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &source{version: 5}
				board, stop := start(t, s, chervilladder.Bounds{})
				defer stop()
				time.Sleep(500 * time.Millisecond)
				is.Equal(board.Routing.Load().Revision, at(5))
				s.set(func() { fault(s); s.version = 9 })
				time.AfterFunc(2*time.Second, func() { s.set(func() { s.down = false }) })
				time.Sleep(inForceWithin)
				is.Equal(board.Routing.Load().Revision, at(9))
				// An older configuration from the store must not be applied.
				s.set(func() { s.staleVersion, s.lost = 7, true })
				time.Sleep(inForceWithin)
				is.Equal(board.Routing.Load().Revision, at(9))
			})
		})
	}
}

// While there is no configuration yet, a VM must wait for it by a watch, and must not
// list it again and again: all VMs start before the first one is written.
func TestFirstConfigurationIsWatchedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{version: 5, none: true}
		board, stop := start(t, s, chervilladder.Bounds{})
		defer stop()
		time.Sleep(10 * time.Second)
		s.set(func() {
			is.Equal(s.reads, 1)
			s.none, s.version = false, 9
		})
		time.Sleep(100 * time.Millisecond)
		is.Equal(board.Routing.Load().Revision, at(9))
	})
}
