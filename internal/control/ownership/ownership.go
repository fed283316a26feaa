// Package ownership decides which VM owns each database. It writes the owners
// section of the blackboard. Only daemon.Run starts it.
package ownership

import (
	"context"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
}

// Controller updates the owners when the members or the configuration change. A
// temporary disagreement of two VMs does no harm: the claim at the primary decides
// between them.
type Controller struct {
	Config
	// candidates are the VMs among which the owners were last chosen.
	candidates map[chervilladder.VMID]bool
}

// New returns a controller.
func New(c Config) *Controller {
	return &Controller{Config: c}
}

// Run keeps the owners up to date until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		members, membersChanged := c.Board.Members.Watch()
		catalogue, catalogueChanged := c.Board.Catalogue.Watch()
		c.decide(members, catalogue)
		select {
		case <-membersChanged:
		case <-catalogueChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) decide(members blackboard.Membership, catalogue *chervilladder.Catalogue) {
	if catalogue == nil {
		return
	}
	next := c.assign(catalogue, candidates(members))
	if maps.Equal(next, c.Board.Owners.Load().ByDatabase) {
		return
	}
	c.Board.Owners.Store(blackboard.Owners{ByDatabase: next})
	c.Log.WithField("owned", c.owned(next)).Info("ownership: owners changed")
}

// assign returns the owner of each database. By rendezvous hashing, a change of the
// candidates moves only the databases of VMs that left and those for which a newly
// joined VM scores highest. So a database whose owner remains is only compared with
// the joined VMs.
func (c *Controller) assign(catalogue *chervilladder.Catalogue, current map[chervilladder.VMID]bool) map[chervilladder.DatabaseID]chervilladder.VMID {
	all := slices.Collect(maps.Keys(current))
	joined := slices.DeleteFunc(slices.Clone(all), func(vm chervilladder.VMID) bool { return c.candidates[vm] })
	owners := c.Board.Owners.Load().ByDatabase
	next := make(map[chervilladder.DatabaseID]chervilladder.VMID, len(catalogue.Databases))
	for db := range catalogue.Databases {
		owner, known := owners[db]
		switch {
		case !known || !current[owner]:
			next[db] = rendezvous.Owner(db, all)
		case len(joined) > 0:
			next[db] = rendezvous.Owner(db, append(joined, owner))
		default:
			next[db] = owner
		}
	}
	c.candidates = current
	return next
}

func (c *Controller) owned(owners map[chervilladder.DatabaseID]chervilladder.VMID) int {
	n := 0
	for _, vm := range owners {
		if vm == c.Board.Self.ID {
			n++
		}
	}
	return n
}

// candidates returns the set of the VMs that may own databases.
func candidates(m blackboard.Membership) map[chervilladder.VMID]bool {
	set := make(map[chervilladder.VMID]bool, len(m.Members))
	for _, id := range m.Candidates() {
		set[id] = true
	}
	return set
}
