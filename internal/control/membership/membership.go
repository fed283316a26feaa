// Package membership keeps track of the system's VMs. It writes the members and
// hint sections of the blackboard. Only daemon.Run starts it; daemon.RunOnPlatform
// starts package relay instead.
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

// Config configures a Controller.
type Config struct {
	Board    *blackboard.Board
	Platform chervilladder.Platform
	Gossip   chervilladder.Gossip
	Log      *logrus.Logger
	// Join lists peers to ask for members when the platform is down.
	Join []chervilladder.Address
	// Random is the source of all random choices; nil means one with a random seed.
	Random *rand.Rand
	// PollIntervals holds the intervals at which the platform's list of VMs is
	// polled.
	PollIntervals PollIntervals
}

// Controller determines the members by probes. The platform's list is used only to
// find peers and to know which VMs leave.
type Controller struct {
	Config
	stateMachine *membership.StateMachine
	states       map[chervilladder.VMID]blackboard.MemberState
}

// received is a message with the address of its sender.
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
	c.PollIntervals.setDefaults()
	return &Controller{Config: c, states: make(map[chervilladder.VMID]blackboard.MemberState)}, nil
}

// Run runs the gossip protocol until the context ends. It then announces that this VM
// stops.
func (c *Controller) Run(ctx context.Context) error {
	now := time.Now()
	c.stateMachine = membership.New(membership.Config{
		Self:        c.Board.Self,
		Incarnation: chervilladder.Incarnation(now.UnixMilli()),
		Random:      c.Random,
	}, now)
	c.stateMachine.SetSeeds(c.Join)
	c.publish()
	// The goroutines outlast ctx so that the last messages can be sent.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	messages := make(chan received)
	receiveFailed := make(chan error, 1)
	go func() { receiveFailed <- c.receive(background, messages) }()
	lists := make(chan []chervilladder.VM)
	go c.pollLists(background, lists)
	err := c.loop(ctx, messages, lists, receiveFailed)
	c.send(c.stateMachine.Leave())
	return err
}

func (c *Controller) loop(ctx context.Context, messages <-chan received, lists <-chan []chervilladder.VM, receiveFailed <-chan error) error {
	timer := time.NewTimer(time.Until(c.stateMachine.Next()))
	defer timer.Stop()
	for {
		local, localChanged := c.Board.Local.Watch()
		published, publishedChanged := c.Board.Published.Watch()
		if local.Draining {
			c.stateMachine.SetDraining(c.Board.Self.ID, time.Now())
		}
		c.send(c.stateMachine.SetRevision(published.Revision, published.Confirmed))
		c.publish()
		timer.Reset(time.Until(c.stateMachine.Next()))
		select {
		case m := <-messages:
			c.send(c.stateMachine.Receive(m.from, m.message, time.Now()))
		case list := <-lists:
			c.applyList(list)
		case <-timer.C:
			c.send(c.stateMachine.Tick(time.Now()))
		case <-localChanged:
		case <-publishedChanged:
		case err := <-receiveFailed:
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
			c.Log.WithField("peer", e.To).WithError(err).Warn("membership: sending a gossip message failed")
		}
	}
}

// applyList applies the peers and the leaving VMs of the platform's list.
func (c *Controller) applyList(list []chervilladder.VM) {
	seeds := append([]chervilladder.Address(nil), c.Join...)
	for _, vm := range list {
		seeds = append(seeds, vm.Peer)
		if vm.Leaving {
			c.stateMachine.SetDraining(vm.ID, time.Now())
		}
	}
	c.stateMachine.SetSeeds(seeds)
}

// publish writes the hint and the members to the blackboard if they have changed.
func (c *Controller) publish() {
	c.publishHint()
	if !c.stateMachine.Changed() {
		return
	}
	list := c.stateMachine.Members()
	members := make(map[chervilladder.VMID]blackboard.Member, len(list))
	for _, m := range list {
		members[m.VM.ID] = blackboard.Member{
			VM:          m.VM,
			State:       stateOf(m.MemberUpdate),
			Incarnation: m.Incarnation,
			LastChanged: m.LastChanged,
		}
	}
	c.logChanges(members)
	c.Board.Members.Store(blackboard.Membership{Members: members})
}

// minConfirmedStep is the minimum difference to the stored confirmation for a newer one
// to be written to the blackboard.
const minConfirmedStep = time.Second

func (c *Controller) publishHint() {
	h, old := c.stateMachine.Newest(), c.Board.Hint.Load()
	if h.Revision == old.Revision && h.Confirmed.Sub(old.Confirmed) < minConfirmedStep {
		return
	}
	c.Board.Hint.Store(blackboard.Hint{Revision: h.Revision, Peer: h.Peer, Confirmed: h.Confirmed})
}

// stateOf returns the state of a VM for the blackboard. Draining takes precedence:
// otherwise a draining VM would be given work again when it is suspected.
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
			c.Log.WithFields(logrus.Fields{"vm": id, "state": m.State.String()}).Info("membership: state of a VM changed")
		}
	}
	for id := range c.states {
		if _, known := members[id]; !known {
			delete(c.states, id)
		}
	}
}
