package group

import (
	"context"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// predecessor is a previous owner and the claim that it holds at the primary.
type predecessor struct {
	holder chervilladder.VMID
	claim  chervilladder.Claim
}

// release is a request to a predecessor to finish its work; done is closed once
// the request has ended.
type release struct {
	of   predecessor
	done chan struct{}
}

// predecessorOf returns the VM whose work in flight a new claim would abort, if
// there is one and it is a member that isn't down.
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

// released reports whether the claim may be taken. It doesn't block on the
// request to the predecessor, so that a failover doesn't wait for the
// previous owner.
func (s *supervisor) released(ctx context.Context, g blackboard.Group) bool {
	p, ok := s.predecessorOf(g)
	if !ok || s.Releaser == nil {
		return true
	}
	if s.release == nil || s.release.of != p {
		s.release = s.requestRelease(ctx, p)
	}
	select {
	case <-s.release.done:
		return true
	default:
		return false
	}
}

func (s *supervisor) requestRelease(ctx context.Context, p predecessor) *release {
	r := &release{of: p, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		ctx, cancel := context.WithTimeout(ctx, s.ReleaseTimeout)
		defer cancel()
		log := s.log.WithField("holder", p.holder)
		if err := s.Releaser.Release(ctx, p.holder, s.id); err != nil {
			log.WithError(err).Warn("group: previous owner did not release the database; taking the claim without its release")
			return
		}
		log.Info("group: previous owner released the database")
	}()
	return r
}

// retire stops the supervisor once the work in flight has ended, or after
// ReleaseTimeout. The VM is no longer the owner, so no work is added.
func (s *supervisor) retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.ReleaseTimeout)
	defer cancel()
	if s.state.InFlight.AwaitNone(ctx) != nil {
		s.log.Warn("group: work is still in flight after the release timeout")
	}
	s.stop()
}
