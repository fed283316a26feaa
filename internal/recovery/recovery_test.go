package recovery_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/recovery"
)

func silent() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestCallReportsAPanic(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	counter := recovery.Metrics.GetOrCreateCounter(`chervilladder_panics{part="test"}`)
	before := counter.Get()
	is.NoErr(recovery.Call(log, "test", func() {}))
	err := recovery.Call(log, "test", func() { panic("broken") })
	var panicked *recovery.PanicError
	is.True(errors.As(err, &panicked))
	is.Equal(panicked.Value, "broken")
	is.True(strings.Contains(lines.String(), "TestCallReportsAPanic")) // the stack
	is.Equal(counter.Get(), before+1)
}

// A part that panics now and then must run again, without an effect on the VM's
// readiness. One that panics again and again must make the VM not ready until it has run
// without a panic for a while, and must end the VM in the end.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var runs, panics atomic.Int64
		panics.Store(4)
		part := func(ctx context.Context) {
			if runs.Add(1) <= panics.Load() {
				panic("broken")
			}
			<-ctx.Done()
		}
		var group sync.WaitGroup
		recovery.Go(ctx, &group, silent(), "test", part)
		time.Sleep(time.Minute)
		is.Equal(runs.Load(), int64(5))
		is.True(!recovery.Failing())
		cancel()
		group.Wait()

		ctx, cancel = context.WithCancel(t.Context())
		runs.Store(0)
		panics.Store(6)
		recovery.Go(ctx, &group, silent(), "test", part)
		time.Sleep(3 * time.Second)
		is.True(recovery.Failing())
		time.Sleep(time.Minute)
		is.True(!recovery.Failing())
		cancel()
		group.Wait()

		began := time.Now()
		err := recovery.Loop(t.Context(), silent(), "test", func(context.Context) error { panic("broken") })
		var panicked *recovery.PanicError
		is.True(errors.As(err, &panicked))
		is.True(time.Since(began) > time.Minute && time.Since(began) < 2*time.Minute)
		is.True(!recovery.Failing())
		want := errors.New("ended")
		is.Equal(recovery.Loop(t.Context(), silent(), "test", func(context.Context) error { return want }), want)
	})
}
