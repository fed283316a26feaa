package shutdown_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/shutdown"
)

const grace = 6 * time.Second

// vm is a VM that shuts down. Its callers are connected until gone.
type vm struct {
	board     *blackboard.Board
	closeIdle chan struct{}
	connected int
	began     time.Time
	ended     chan error
}

// begin begins the shutdown of a VM with one route, whose reads usually take 200 ms.
func begin(t *testing.T, ctx context.Context, connected int, inFlight int64) *vm {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := &vm{board: blackboard.New(chervilladder.VM{ID: "vm-1"}), closeIdle: make(chan struct{}), connected: connected, ended: make(chan error, 1)}
	v.board.Bounds.Store(chervilladder.Bounds{Grace: grace})
	v.board.Routing.Store(&chervilladder.Routing{Routes: map[chervilladder.DatabaseID]chervilladder.Route{"db": {Timeout: time.Second, Target: 200 * time.Millisecond}}})
	v.board.InFlight.Store(inFlight)
	k, err := shutdown.New(shutdown.Config{Board: v.board, Log: log, Connected: func() int { return v.connected }, CloseIdle: v.closeIdle})
	if err != nil {
		t.Fatal(err)
	}
	go func() { v.ended <- k.Run(ctx) }()
	synctest.Wait()
	select {
	case <-k.Began():
		t.Fatal("the shutdown began without a signal")
	default:
	}
	v.began = time.Now()
	k.Begin()
	k.Begin()
	<-k.Began()
	return v
}

// await waits for the end and returns how long the shutdown took.
func (v *vm) await(is *is.I) time.Duration {
	is.Helper()
	is.Equal(<-v.ended, shutdown.ErrShutDown)
	is.True(!v.board.Local.Load().Shutdown.Fits(time.Millisecond, time.Now())) // nothing is taken after the end
	return time.Since(v.began)
}

func bubble(t *testing.T, f func(t *testing.T, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t)) })
}

func TestIdleVMEndsOnceThePlatformHasObservedIt(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		v := begin(t, t.Context(), 0, 0)
		is.True(v.board.ShutsDown())
		is.Equal(v.await(is), grace/3)
		<-v.closeIdle
	})
}

// A peer's transaction is open here and no caller is connected. The VM must not end before
// the transaction does, or its COMMIT ends in doubt.
func TestVMWaitsForTheWorkOfPeers(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		v := begin(t, t.Context(), 0, 1)
		time.AfterFunc(3010*time.Millisecond, func() { v.board.InFlight.Add(-1) })
		is.Equal(v.await(is), 3050*time.Millisecond) // the next check
	})
}

// Callers come until the end, as all other VMs stop too. The VM ends once it takes none of
// their work and what it took is answered.
func TestVMEndsOnceItTakesNoMoreWork(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		took := begin(t, t.Context(), 7, 0).await(is)
		is.True(took > grace*5/6-250*time.Millisecond)
		is.True(took < grace*5/6)
	})
}

func TestVMEndsInTimeWhateverIsLeft(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		is.Equal(begin(t, t.Context(), 7, 3).await(is), grace*5/6)
	})
}

func TestEndOfTheContextEndsTheController(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		ctx, stop := context.WithCancel(t.Context())
		v := begin(t, ctx, 7, 3)
		stop()
		is.NoErr(<-v.ended)
	})
}
