package registry_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/registry"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// answer is one response of the store: a list, events or an error.
type answer struct {
	list   []chervilladder.Registered
	events []chervilladder.RegistryEvent
	err    error
	panics bool
}

// source returns the answers that the tests put in.
type source struct{ answers chan answer }

var errDown = errors.New("store is down")

func (s source) next(ctx context.Context) answer {
	select {
	case a := <-s.answers:
		if a.panics {
			panic("injected")
		}
		return a
	case <-ctx.Done():
		return answer{err: ctx.Err()}
	}
}

func (s source) List(ctx context.Context) ([]chervilladder.Registered, chervilladder.StoreRevision, error) {
	a := s.next(ctx)
	return a.list, chervilladder.StoreRevision{Revision: 1}, a.err
}

func (s source) Watch(ctx context.Context, after chervilladder.StoreRevision, _ time.Duration) ([]chervilladder.RegistryEvent, chervilladder.StoreRevision, error) {
	a := s.next(ctx)
	after.Revision++
	return a.events, after, a.err
}

func upstream(id string, change ...func(*chervilladder.Registered)) chervilladder.Registered {
	u := chervilladder.Registered{ID: chervilladder.UpstreamID(id), Service: "s", Address: "10.0.0.1:1", Slots: 3, Born: time.UnixMilli(1)}
	for _, f := range change {
		f(&u)
	}
	return u
}

func draining(u *chervilladder.Registered) { u.Draining = true }

func bubble(t *testing.T, f func(is *is.I, s source, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream)) {
	t.Helper()
	bubbleWithBoard(t, func(is *is.I, s source, board *blackboard.Board) {
		f(is, s, func() map[chervilladder.UpstreamID]blackboard.KnownUpstream { return knownOn(board) })
	})
}

// knownOn returns the upstreams on a board once all that goes on has ended.
func knownOn(board *blackboard.Board) map[chervilladder.UpstreamID]blackboard.KnownUpstream {
	synctest.Wait()
	return board.Upstreams.Load().ByID
}

func bubbleWithBoard(t *testing.T, f func(is *is.I, s source, board *blackboard.Board)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board := blackboard.New(chervilladder.VM{ID: "vm"})
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := source{make(chan answer, 10)}
		k, err := registry.New(registry.Config{Board: board, Source: s, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- recovery.Loop(ctx, log, "test", k.Run) }()
		defer func() {
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}()
		f(is, s, board)
	})
}

func changed(u chervilladder.Registered) answer {
	return answer{events: []chervilladder.RegistryEvent{{ID: u.ID, Upstream: &u}}}
}

func removed(id chervilladder.UpstreamID) answer {
	return answer{events: []chervilladder.RegistryEvent{{ID: id, Removed: true}}}
}

// A panic while the controller reads the store must end neither it nor its sweep of
// missing entries.
func TestRegistryContinuesAfterAPanic(t *testing.T) {
	bubble(t, func(is *is.I, s source, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a"), upstream("b")}}
		is.Equal(len(known()), 2)
		s.answers <- answer{panics: true}
		time.Sleep(time.Second)
		s.answers <- changed(upstream("c"))
		is.Equal(len(known()), 3)
		s.answers <- removed("a")
		time.Sleep(4 * time.Second)
		is.Equal(len(known()), 2)
	})
}

func TestUpstreamsComeAndLeave(t *testing.T) {
	bubble(t, func(is *is.I, s source, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a"), upstream("b")}}
		is.Equal(len(known()), 2)
		s.answers <- changed(upstream("b", draining))
		is.True(!known()["b"].DrainingSince.IsZero())
		since := known()["b"].DrainingSince
		time.Sleep(time.Second)
		s.answers <- changed(upstream("b", draining))
		is.Equal(known()["b"].DrainingSince, since) // the time is set once
		s.answers <- removed("b")
		is.Equal(len(known()), 1) // it was draining, so it isn't kept
		s.answers <- changed(upstream("a", func(u *chervilladder.Registered) { u.Born = time.UnixMilli(2) }))
		is.Equal(known()["a"].Born, time.UnixMilli(2))
	})
}

// Entries expire while the store is unavailable and are registered again within
// about two seconds of its recovery: these upstreams must be kept. An upstream
// whose entry stays missing must be removed.
func TestMissingEntries(t *testing.T) {
	bubble(t, func(is *is.I, s source, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a"), upstream("b")}}
		known()
		s.answers <- answer{err: errDown}
		s.answers <- answer{list: nil}
		time.Sleep(time.Second)
		is.Equal(len(known()), 2)
		s.answers <- changed(upstream("a"))
		time.Sleep(3 * time.Second)
		is.Equal(len(known()), 1)
		is.True(known()["a"].MissingSince.IsZero())
	})
}

// An entry of another writer under an upstream's name must count as missing.
func TestForeignEntry(t *testing.T) {
	bubble(t, func(is *is.I, s source, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a")}}
		known()
		s.answers <- answer{events: []chervilladder.RegistryEvent{{ID: "a"}, {ID: "x"}}}
		is.Equal(len(known()), 1)
		time.Sleep(3 * time.Second)
		is.Equal(len(known()), 0)
	})
}
