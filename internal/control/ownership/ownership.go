// Package ownership decides which VM owns each database. It writes the owners
// section of the blackboard.
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

// Config says what a Controller works with.
type Config struct {
	Board *blackboard.Board
	Log   *logrus.Logger
}

// Controller keeps the owners in step with the members and the configuration.
// Two VMs that disagree for a moment do no harm: the claim at the primary
// decides.
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

// assign returns the owner of each database. A change of the candidates moves
// only the databases of those that left and those that a newcomer wins, so
// only these are weighed again.
func (c *Controller) assign(catalogue *chervilladder.Catalogue, now map[chervilladder.VMID]bool) map[chervilladder.DatabaseID]chervilladder.VMID {
	all := slices.Collect(maps.Keys(now))
	joined := slices.DeleteFunc(slices.Clone(all), func(vm chervilladder.VMID) bool { return c.candidates[vm] })
	owners := c.Board.Owners.Load().ByDatabase
	next := make(map[chervilladder.DatabaseID]chervilladder.VMID, len(catalogue.Databases))
	for db := range catalogue.Databases {
		owner, known := owners[db]
		switch {
		case !known || !now[owner]:
			next[db] = rendezvous.Owner(db, all)
		case len(joined) > 0:
			next[db] = rendezvous.Owner(db, append(joined, owner))
		default:
			next[db] = owner
		}
	}
	c.candidates = now
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
