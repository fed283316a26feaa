package registry_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/registry"
)

// hangingSource lists a first upstream. A waiting watch of it reports nothing, and answers
// with its state of before once it is released. A watch that doesn't wait tells of a second
// one.
type hangingSource struct {
	release chan struct{}
	down    atomic.Bool
}

func (s *hangingSource) List(context.Context) ([]chervilladder.Registered, chervilladder.StoreRevision, error) {
	return []chervilladder.Registered{upstream("first")}, chervilladder.StoreRevision{Revision: 10}, nil
}

func (s *hangingSource) Watch(ctx context.Context, after chervilladder.StoreRevision, wait time.Duration) ([]chervilladder.RegistryEvent, chervilladder.StoreRevision, error) {
	switch {
	case s.down.Load():
		return nil, after, errDown
	case wait <= time.Millisecond:
		second := upstream("second")
		return []chervilladder.RegistryEvent{{ID: second.ID, Upstream: &second}}, chervilladder.StoreRevision{Revision: 12}, nil
	}
	select {
	case <-s.release:
		return []chervilladder.RegistryEvent{{ID: "second", Removed: true}}, chervilladder.StoreRevision{Revision: 11}, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

func bubbleWithHangingWatch(t *testing.T, f func(is *is.I, s *hangingSource, board *blackboard.Board)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, board, log := &hangingSource{release: make(chan struct{}, 1)}, blackboard.New(chervilladder.VM{ID: "vm"}), logrus.New()
		log.SetOutput(io.Discard)
		k, err := registry.New(registry.Config{Board: board, Source: s, Log: log, Clock: time.Now})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(time.Second)
		f(is, s, board)
		stop()
		is.NoErr(<-ended)
	})
}

// A failover asks for a list that isn't older than its request while the watch of the
// registry hangs. The watch's late answer must not bring the older list back (regression:
// review/6).
func TestRequestedReadIsNotHeldUpByAWatch(t *testing.T) {
	bubbleWithHangingWatch(t, func(is *is.I, s *hangingSource, board *blackboard.Board) {
		since := time.Now()
		is.Equal(len(board.Upstreams.Load().ByID), 1)
		board.UpstreamsTrigger.Ask()
		synctest.Wait()
		is.Equal(len(board.Upstreams.Load().ByID), 2)
		is.True(!board.Upstreams.Load().ReadAt.Before(since))
		s.release <- struct{}{}
		synctest.Wait()
		is.True(board.Upstreams.Load().ByID["second"].MissingSince.IsZero())
	})
}

// A requested read that fails must not count as one.
func TestFailedReadSatisfiesNoRequest(t *testing.T) {
	bubbleWithHangingWatch(t, func(is *is.I, s *hangingSource, board *blackboard.Board) {
		s.down.Store(true)
		board.UpstreamsTrigger.Ask()
		synctest.Wait()
		is.True(board.Upstreams.Load().ReadAt.IsZero())
	})
}
