package bounds_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/bounds"
)

// source holds bounds that tests change.
type source struct {
	mu  sync.Mutex
	now chervilladder.Bounds
	err error
}

func (s *source) Bounds() (chervilladder.Bounds, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.err
}

func (s *source) set(b chervilladder.Bounds, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now, s.err = b, err
}

// lines collects log lines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

func TestBoundsFollowTheirSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := chervilladder.Bounds{Grace: 6 * time.Second}
		s, board, out := &source{now: first}, blackboard.New(chervilladder.VM{ID: "vm"}), &lines{}
		board.Bounds.Store(first)
		log := logrus.New()
		log.SetOutput(out)
		reload := make(chan struct{})
		k, err := bounds.New(bounds.Config{Board: board, Source: s, Log: log, Reload: reload})
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()

		time.Sleep(10 * time.Second)
		is.Equal(out.count("bounds:"), 0) // nothing has changed

		second := chervilladder.Bounds{Grace: 3 * time.Second, MemoryBytes: 1 << 20}
		s.set(second, nil)
		reload <- struct{}{}
		synctest.Wait()
		is.Equal(board.Bounds.Load(), second) // immediately on request

		s.set(first, nil)
		time.Sleep(3 * time.Second)
		is.Equal(board.Bounds.Load(), first) // read again after readInterval

		s.set(second, errors.New("half written"))
		time.Sleep(20 * time.Second)
		is.Equal(board.Bounds.Load(), first)
		is.Equal(out.count("not read"), 1) // logged once
		s.set(second, nil)
		time.Sleep(3 * time.Second)
		is.Equal(board.Bounds.Load(), second)
		stop()
		is.NoErr(<-ended)
	})
}
