// Package membership keeps track of the system's VMs. It writes the members
// and the hint section of the blackboard.
package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/membership"
)

// Config says what a Controller works with.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Gossip   chervilladder.Gossip
	Log      *logrus.Logger
	// Join lists peers to ask when the platform is down.
	Join []chervilladder.Address
	// Random is the source of all choices; nil means a random seed.
	Random *rand.Rand
	// Lookups is the time between looks at the platform's list.
	Lookups Lookups
}

// Controller keeps the members by the evidence of probes. The platform's list
// is used to find peers, and to learn which VMs leave.
type Controller struct {
	Config
	machine *membership.Machine
	states  map[chervilladder.VMID]blackboard.MemberState
}

// received is a message with its sender's address.
type received struct {
	from    chervilladder.Address
	message chervilladder.GossipMessage
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Platform == nil || c.Gossip == nil || c.Log == nil {
		return nil, errors.New("membership: board, platform, gossip and log are required")
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Lookups.setDefaults()
	return &Controller{Config: c, states: make(map[chervilladder.VMID]blackboard.MemberState)}, nil
}

// Run probes and is probed until the context ends. It then tells others that
// this VM stops.
func (c *Controller) Run(ctx context.Context) error {
	now := time.Now()
	c.machine = membership.New(membership.Config{
		Self:        c.Board.Self,
		Incarnation: chervilladder.Incarnation(now.UnixMilli()),
		Random:      c.Random,
	}, now)
	c.machine.SetSeeds(c.Join)
	c.publish()
	// Others outlast the context so that the last messages can be sent.
	others, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	messages := make(chan received)
	failed := make(chan error, 1)
	go func() { failed <- c.receive(others, messages) }()
	lists := make(chan []chervilladder.VM)
	go c.lookUp(others, lists)
	err := c.loop(ctx, messages, lists, failed)
	c.send(c.machine.Leave())
	return err
}

func (c *Controller) loop(ctx context.Context, messages <-chan received, lists <-chan []chervilladder.VM, failed <-chan error) error {
	timer := time.NewTimer(time.Until(c.machine.Next()))
	defer timer.Stop()
	for {
		local, localChanged := c.Board.Local.Watch()
		published, publishedChanged := c.Board.Published.Watch()
		if local.Draining {
			c.machine.SetLeaving(c.Board.Self.ID, time.Now())
		}
		c.send(c.machine.SetRevision(published.Revision, published.Confirmed))
		c.publish()
		timer.Reset(time.Until(c.machine.Next()))
		select {
		case m := <-messages:
			c.send(c.machine.Receive(m.from, m.message, time.Now()))
		case list := <-lists:
			c.adopt(list)
		case <-timer.C:
			c.send(c.machine.Tick(time.Now()))
		case <-localChanged:
		case <-publishedChanged:
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) receive(ctx context.Context, messages chan<- received) error {
	for {
		from, m, err := c.Gossip.Receive(ctx)
		if err != nil {
			return err
		}
		select {
		case messages <- received{from, m}:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) send(envelopes []membership.Envelope) {
	for _, e := range envelopes {
		if err := c.Gossip.Send(e.To, e.Message); err != nil {
			c.Log.WithField("peer", e.To).WithError(err).Warn("membership: message not sent")
		}
	}
}

// adopt takes over what the platform's list says of peers and of leaving VMs.
func (c *Controller) adopt(list []chervilladder.VM) {
	seeds := append([]chervilladder.Address(nil), c.Join...)
	for _, vm := range list {
		seeds = append(seeds, vm.Peer)
		if vm.Leaving {
			c.machine.SetLeaving(vm.ID, time.Now())
		}
	}
	c.machine.SetSeeds(seeds)
}

// publish writes what the machine believes to the blackboard if it changed.
func (c *Controller) publish() {
	c.publishHint()
	if !c.machine.Changed() {
		return
	}
	list := c.machine.Members()
	members := make(map[chervilladder.VMID]blackboard.Member, len(list))
	for _, m := range list {
		members[m.VM.ID] = blackboard.Member{
			VM:          m.VM,
			State:       stateOf(m.MemberUpdate),
			Incarnation: m.Incarnation,
			Heard:       m.Heard,
		}
	}
	c.logChanges(members)
	c.Board.Members.Store(blackboard.Membership{Members: members})
}

// confirmedStep is by how much a confirmation has to be later to be written.
const confirmedStep = time.Second

func (c *Controller) publishHint() {
	h, old := c.machine.Newest(), c.Board.Hint.Load()
	if h.Revision == old.Revision && h.Confirmed.Sub(old.Confirmed) < confirmedStep {
		return
	}
	c.Board.Hint.Store(blackboard.Hint{Revision: h.Revision, Peer: h.Peer, Confirmed: h.Confirmed})
}

// stateOf returns the state that counts: a VM that drains is not given work
// again because it is suspected as well.
func stateOf(u chervilladder.MemberUpdate) blackboard.MemberState {
	switch {
	case u.Health == chervilladder.HealthDead:
		return blackboard.MemberDead
	case u.VM.Leaving:
		return blackboard.MemberDraining
	case u.Health == chervilladder.HealthSuspect:
		return blackboard.MemberSuspect
	default:
		return blackboard.MemberAlive
	}
}

func (c *Controller) logChanges(members map[chervilladder.VMID]blackboard.Member) {
	for id, m := range members {
		if old, known := c.states[id]; known && old == m.State {
			continue
		}
		c.states[id] = m.State
		if m.State != blackboard.MemberSuspect {
			c.Log.WithFields(logrus.Fields{"vm": id, "state": m.State.String()}).Info("membership: VM changed")
		}
	}
	for id := range c.states {
		if _, known := members[id]; !known {
			delete(c.states, id)
		}
	}
}
