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
	// What the owners were last decided by.
	catalogue  *chervilladder.Catalogue
	candidates []chervilladder.VMID
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
	candidates := members.Candidates()
	if catalogue == c.catalogue && slices.Equal(candidates, c.candidates) {
		return
	}
	c.catalogue, c.candidates = catalogue, candidates
	next := make(map[chervilladder.DatabaseID]chervilladder.VMID, len(catalogue.Databases))
	for db := range catalogue.Databases {
		next[db] = rendezvous.Owner(db, candidates)
	}
	if maps.Equal(next, c.Board.Owners.Load().ByDatabase) {
		return
	}
	c.Board.Owners.Store(blackboard.Owners{ByDatabase: next})
	c.Log.WithField("owned", c.owned(next)).Info("ownership: owners changed")
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
