// Package drain makes this VM leave. It writes the local section of the blackboard;
// other controllers read there that the VM drains, announce it, move its databases
// and reject callers. Only daemon.Run starts it.
package drain

import (
	"context"
	"errors"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
}

// Controller waits for the order to drain: a call of Begin, an entry in the
// platform's list, or the end of its context.
type Controller struct {
	Config
	once  sync.Once
	begun chan struct{}
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Log == nil {
		return nil, errors.New("drain: board and log are required")
	}
	return &Controller{Config: c, begun: make(chan struct{})}, nil
}

// Begin orders the drain. Further calls have no effect.
func (c *Controller) Begin() {
	c.once.Do(func() { close(c.begun) })
}

// Run waits for the order, writes it to the blackboard and returns.
func (c *Controller) Run(ctx context.Context) error {
	cause := c.awaitOrder(ctx)
	c.Board.Local.Update(func(l blackboard.Local) blackboard.Local {
		l.Draining = true
		return l
	})
	c.Log.WithField("cause", cause).Info("drain: started")
	return nil
}

// awaitOrder waits for the order to drain and returns where it came from.
func (c *Controller) awaitOrder(ctx context.Context) string {
	for {
		members, changed := c.Board.Members.Watch()
		if members.Members[c.Board.Self.ID].State == blackboard.MemberDraining {
			return "platform"
		}
		select {
		case <-changed:
		case <-c.begun:
			return "operator"
		case <-ctx.Done():
			return "stop"
		}
	}
}
