// Package witness asks peers for the primaries that this VM can't reach, and tells
// peers which ones it reaches.
package witness

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// The pace of the controller.
const (
	// lookEvery is how often it is looked whether a primary is out of reach.
	lookEvery = 100 * time.Millisecond
	// askEvery is the time between two rounds of questions about one cluster.
	askEvery = 250 * time.Millisecond
	// answerTimeout is how long a VM asks its upstreams for a peer, and
	// roundTimeout how long the peer waits for that.
	answerTimeout = 300 * time.Millisecond
	roundTimeout  = 350 * time.Millisecond
	// againEvery is how often the upstreams are asked meanwhile.
	againEvery = 50 * time.Millisecond
	// maxWitnesses is how many peers are asked at most. Those that may host the
	// service are asked first.
	maxWitnesses = 8
)

// Config configures a Controller.
type Config struct {
	Board *blackboard.Board
	// Peers are the witnesses at other VMs.
	Peers chervilladder.Witnesses
	Log   *logrus.Logger
	// Clock tells the VM's own time.
	Clock func() time.Time
	// Leaving reports whether the VM leaves and takes no new work.
	Leaving func() bool
}

// Controller is the one writer of the clusters' Testimony.
type Controller struct {
	c Config
	// asking holds the clusters whose peers are being asked. It belongs to Run.
	asking  map[chervilladder.ServiceID]bool
	asked   chan chervilladder.ServiceID
	running sync.WaitGroup
}

// New returns a controller.
func New(c Config) (*Controller, error) {
	if c.Board == nil || c.Peers == nil || c.Log == nil || c.Clock == nil || c.Leaving == nil {
		return nil, errors.New("witness: a board, peers, a log, a clock and whether the VM leaves are needed")
	}
	return &Controller{c: c, asking: make(map[chervilladder.ServiceID]bool), asked: make(chan chervilladder.ServiceID)}, nil
}

// Run looks for primaries that are out of reach until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	defer k.running.Wait()
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.look(ctx)
		case s := <-k.asked:
			delete(k.asking, s)
		case <-ctx.Done():
			return nil
		}
	}
}

// look starts a round of questions for each cluster that needs one.
func (k *Controller) look(ctx context.Context) {
	for service, c := range k.c.Board.Clusters.All() {
		if k.asking[service] || !lead.Suspect(c.View.Load()) {
			continue
		}
		k.asking[service] = true
		k.running.Go(func() { k.round(ctx, service, c) })
	}
}

// round asks peers once, and notes the first one that reaches the primary.
func (k *Controller) round(ctx context.Context, service chervilladder.ServiceID, c *blackboard.Cluster) {
	next := time.NewTimer(askEvery)
	defer next.Stop()
	if told, ok := k.ask(ctx, service); ok {
		before := c.Testimony.Load()
		c.Testimony.Store(told)
		if before.By != told.By || before.Led != told.Led {
			k.c.Log.WithFields(logrus.Fields{
				"service": service, "peer": told.By, "primary": told.Led.Primary, "term": told.Led.Term,
			}).Info("witness: a peer reaches the primary that this VM doesn't")
		}
	}
	select {
	case <-next.C:
	case <-ctx.Done():
	}
	select {
	case k.asked <- service:
	case <-ctx.Done():
	}
}

// ask asks peers at once, and returns the first word of one that reaches the primary.
func (k *Controller) ask(ctx context.Context, service chervilladder.ServiceID) (blackboard.Testimony, bool) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	peers := hosting.Ranked(service, k.c.Board.Peers.Load(), maxWitnesses)
	at := k.c.Clock()
	words := make(chan blackboard.Testimony, len(peers))
	for _, peer := range peers {
		k.running.Go(func() {
			led, err := k.c.Peers.Reaches(ctx, peer.Peer, service)
			if err != nil {
				words <- blackboard.Testimony{}
				return
			}
			words <- blackboard.Testimony{By: peer.ID, Led: led, At: at}
		})
	}
	for range peers {
		if told := <-words; told.By != "" {
			return told, true
		}
	}
	return blackboard.Testimony{}, false
}

var _ chervilladder.Witness = (*Controller)(nil)

// outOfReachError reports a service of which this VM can run nothing for a peer.
type outOfReachError struct{ Service chervilladder.ServiceID }

// Error names the service.
func (e *outOfReachError) Error() string {
	return fmt.Sprintf("witness: this VM does not reach the primary of %s and its replicas", e.Service)
}

// Reaches asks the members of a cluster anew, and returns the primary if this VM
// reaches it.
func (k *Controller) Reaches(ctx context.Context, service chervilladder.ServiceID) (chervilladder.Led, error) {
	c, known := k.c.Board.Clusters.Find(service)
	if !known || k.c.Leaving() || !k.c.Board.Hosting.Load().Here(service) {
		return chervilladder.Led{}, &outOfReachError{Service: service}
	}
	moment := k.c.Clock()
	if lead.OutOfReach(c.View.Load(), blackboard.Testimony{}, moment) {
		return chervilladder.Led{}, &outOfReachError{Service: service} // asked often enough as it is
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	again := time.NewTicker(againEvery)
	defer again.Stop()
	c.Wanted.Ask()
	for {
		v, changed := c.View.Watch()
		if led, ok := lead.Reached(v, moment, k.c.Clock()); ok {
			return led, nil
		}
		select {
		case <-changed:
		case <-again.C:
			c.Wanted.Ask()
		case <-ctx.Done():
			return chervilladder.Led{}, &outOfReachError{Service: service}
		}
	}
}
