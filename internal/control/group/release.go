package group

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// predecessor is a VM that holds a claim from before.
type predecessor struct {
	holder chervilladder.VMID
	claim  chervilladder.Claim
}

// release is the asking of a predecessor to finish its work.
type release struct {
	of   predecessor
	done chan struct{}
}

// predecessorOf returns the VM whose work a new claim would cut, if there is
// one that can be asked.
func (s *supervisor) predecessorOf(g blackboard.Group) (predecessor, bool) {
	status := g.Members[g.Primary].Status
	if status.Claim == 0 || status.Holder == "" || status.Holder == s.Board.Self.ID {
		return predecessor{}, false
	}
	m, known := s.Board.Members.Load().Members[status.Holder]
	if !known || m.State == blackboard.MemberDead {
		return predecessor{}, false
	}
	return predecessor{holder: status.Holder, claim: status.Claim}, true
}

// released reports whether the claim may be taken. It asks the predecessor
// without waiting for it, so that a failover can overtake a handover.
func (s *supervisor) released(ctx context.Context, g blackboard.Group) bool {
	p, ok := s.predecessorOf(g)
	if !ok || s.Handover == nil {
		return true
	}
	if s.release == nil || s.release.of != p {
		s.release = s.askRelease(ctx, p)
	}
	select {
	case <-s.release.done:
		return true
	default:
		return false
	}
}

func (s *supervisor) askRelease(ctx context.Context, p predecessor) *release {
	r := &release{of: p, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		ctx, cancel := context.WithTimeout(ctx, s.ReleaseTimeout)
		defer cancel()
		log := s.log.WithField("holder", p.holder)
		if err := s.Handover.Release(ctx, p.holder, s.id); err != nil {
			log.WithError(err).Warn("group: claim is taken without a handover")
			return
		}
		log.Info("group: handed over")
	}()
	return r
}

// retire lets the work in flight end before the supervisor stops. The VM is no
// longer the owner, so none is added.
func (s *supervisor) retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.ReleaseTimeout)
	defer cancel()
	if s.state.InFlight.AwaitNone(ctx) != nil {
		s.log.Warn("group: work in flight outlasts the handover")
	}
	s.stop()
}
