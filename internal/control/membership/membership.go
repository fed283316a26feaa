// Package membership keeps track of the system's VMs. It writes the members
// section of the blackboard.
package membership

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Config says what a Controller works with.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Log      *logrus.Logger
	// Every is the time between looks at the platform's list.
	Every time.Duration
}

// Controller follows the platform's list of VMs.
type Controller struct {
	Config
}

// New returns a controller.
func New(c Config) *Controller {
	if c.Every == 0 {
		c.Every = time.Second
	}
	return &Controller{Config: c}
}

// Run follows the list until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(c.Every)
	defer tick.Stop()
	for {
		vms, err := c.Platform.VMs(ctx)
		if err == nil {
			c.adopt(vms)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) adopt(vms []chervilladder.VM) {
	members := map[chervilladder.VMID]blackboard.Member{
		c.Board.Self.ID: {VM: c.Board.Self},
	}
	for _, vm := range vms {
		m := blackboard.Member{VM: vm}
		if vm.Leaving {
			m.State = blackboard.MemberDraining
		}
		members[vm.ID] = m
	}
	if reflect.DeepEqual(members, c.Board.Members.Load().Members) {
		return
	}
	c.Board.Members.Store(blackboard.Membership{Members: members})
	c.Log.WithField("members", len(members)).Info("membership: list changed")
}
