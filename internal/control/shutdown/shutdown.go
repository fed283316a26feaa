// Package shutdown ends a VM gracefully. It writes the plan of the shutdown to the local
// section of the blackboard, where the path of a request reads it, and ends once the VM
// has no work left. Only daemon.RunOnPlatform starts it; for daemon.Run see package drain.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
)

// checkInterval is how often a VM that shuts down checks whether work is left.
const checkInterval = 50 * time.Millisecond

// ErrShutDown ends the run of a VM that was told to stop.
var ErrShutDown = errors.New("the VM was shut down")

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
	// Connected returns how many callers are connected.
	Connected func() int
	// CloseIdle is closed when the front end is to close idle sessions.
	CloseIdle chan<- struct{}
}

// Controller shuts the VM down once Begin is called. The readiness check fails at once.
// When the platform has had time to observe that, idle sessions are closed, and work that
// can't be answered in time is refused. The VM ends when no work is left and no caller is
// connected or could be served, at the latest when all work must have been answered.
type Controller struct {
	c Config
	// began is closed by Begin.
	began                chan struct{}
	beginOnce, closeOnce sync.Once
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil || c.Connected == nil || c.CloseIdle == nil {
		return nil, errors.New("shutdown: a board, a log, the count of connected callers and a channel to close idle sessions are needed")
	}
	return &Controller{c: c, began: make(chan struct{})}, nil
}

// Begin begins the shutdown. Further calls have no effect.
func (k *Controller) Begin() {
	k.beginOnce.Do(func() {
		plan := shutdown.New(time.Now(), k.c.Board.Bounds.Load().Grace)
		k.store(plan)
		close(k.began)
		k.c.Log.WithField("connected", k.c.Connected()).Info("shutdown: began")
	})
}

// Began is closed once the shutdown has begun.
func (k *Controller) Began() <-chan struct{} { return k.began }

// Run waits for Begin and carries the shutdown out. It returns ErrShutDown at its end, or
// nil if the context ends first.
func (k *Controller) Run(ctx context.Context) error {
	select {
	case <-k.began:
	case <-ctx.Done():
		return nil
	}
	plan := k.c.Board.Local.Load().Shutdown
	if !k.wait(ctx, func(now time.Time) bool { return !now.Before(plan.CloseIdle) }) {
		return nil
	}
	k.closeOnce.Do(func() { close(k.c.CloseIdle) }) // Run starts again after a panic
	if !k.wait(ctx, k.mayEnd) {
		return nil
	}
	now := time.Now()
	k.c.Log.WithFields(logrus.Fields{
		"connected": k.c.Connected(), "in-flight": k.c.Board.InFlight.Load(), "early-ms": plan.AnswerBy.Sub(now).Milliseconds(),
	}).Info("shutdown: no more work is taken")
	k.store(plan.EndedAt(now))
	return ErrShutDown
}

func (k *Controller) store(p shutdown.Plan) {
	k.c.Board.Local.Update(func(l blackboard.Local) blackboard.Local {
		l.Shutdown = p
		return l
	})
}

// wait waits until a condition holds. It returns false if the context ends first.
func (k *Controller) wait(ctx context.Context, satisfied func(now time.Time) bool) bool {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for !satisfied(time.Now()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// mayEnd reports whether the VM has nothing left to do after idle sessions were closed.
func (k *Controller) mayEnd(now time.Time) bool {
	plan := k.c.Board.Local.Load().Shutdown
	if !now.Before(plan.AnswerBy) {
		return true
	}
	return k.c.Board.InFlight.Load() == 0 && (k.c.Connected() == 0 || !takesAny(plan, k.c.Board.Routing.Load(), now))
}

// takesAny reports whether work of some route is still taken.
func takesAny(p shutdown.Plan, r *chervilladder.Routing, now time.Time) bool {
	if r == nil {
		return false
	}
	for _, route := range r.Routes {
		if p.Fits(route.UsualTime(), now) {
			return true
		}
	}
	return false
}
