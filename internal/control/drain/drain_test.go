package drain_test

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
	"github.com/chervilladder/chervilladder/internal/control/drain"
)

func silent() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newBoard() *blackboard.Board {
	return blackboard.New(chervilladder.VM{ID: "vm-1"})
}

func TestDrainBegins(t *testing.T) {
	orders := map[string]func(*drain.Controller, *blackboard.Board, context.CancelFunc){
		"operator": func(c *drain.Controller, _ *blackboard.Board, _ context.CancelFunc) { c.Begin(); c.Begin() },
		"stop":     func(_ *drain.Controller, _ *blackboard.Board, stop context.CancelFunc) { stop() },
		"platform": func(_ *drain.Controller, b *blackboard.Board, _ context.CancelFunc) {
			b.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{
				"vm-1": {State: blackboard.MemberDraining},
			}})
		},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBoard()
				c, err := drain.New(drain.Config{Board: b, Log: silent()})
				is.NoErr(err)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				done := make(chan error, 1)
				go func() { done <- c.Run(ctx) }()
				synctest.Wait()
				is.True(!b.Local.Load().Draining)
				order(c, b, stop)
				is.NoErr(<-done)
				is.True(b.Local.Load().Draining)
			})
		})
	}
}

func TestShutdownDelayWaitsForWorkInFlight(t *testing.T) {
	for work, want := range map[time.Duration]time.Duration{
		0:                2 * time.Second, // linger: peers may not know yet that the VM drains
		7 * time.Second:  7 * time.Second,
		time.Hour:        15 * time.Second, // bounded
		15 * time.Second: 15 * time.Second,
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBoard()
			delay, err := drain.NewShutdownDelay(drain.ShutdownDelayConfig{Board: b, Log: silent(), Linger: 2 * time.Second, Timeout: 15 * time.Second})
			is.NoErr(err)
			inFlight := &b.Databases.Get("x").InFlight
			inFlight.Begin()
			time.AfterFunc(work, inFlight.End)
			ctx, stop := context.WithCancel(context.Background())
			stop()
			start := time.Now()
			is.NoErr(delay.Run(ctx))
			is.Equal(time.Since(start), want)
		})
	}
}
