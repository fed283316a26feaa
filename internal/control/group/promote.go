package group

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/promotion"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// promote replaces the primary. The members decide: a majority must accept the
// new term before the new primary is promoted, so at most one attempt succeeds
// per term, and no majority confirms the old primary's term any more.
func (s *supervisor) promote(ctx context.Context, db *chervilladder.Database, g blackboard.Group, cause promotion.Cause) {
	ballot := chervilladder.Ballot{Term: nextTerm(g), Attempt: chervilladder.AttemptID(rand.Text())}
	log := s.log.WithFields(logrus.Fields{"old-primary": g.Primary, "term": ballot.Term, "cause": cause})
	log.Warn("group: promotion started")
	accepted := s.collectAcceptances(ctx, db, ballot)
	if len(accepted) < majority(db) {
		log.WithField("accepted", len(accepted)).Warn("group: promotion abandoned: no majority accepted the new term")
		return
	}
	id, ok := chooseCandidate(db, g, cause, accepted)
	if !ok {
		log.Warn("group: promotion abandoned: no candidate among the members that accepted the new term")
		return
	}
	status, err := s.call(ctx, db, id, func(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
		return m.Promote(ctx, ballot)
	})
	if err != nil {
		log.WithField("new-primary", id).WithError(err).Warn("group: promotion failed")
		return
	}
	log.WithFields(logrus.Fields{"new-primary": id, "position": status.Received}).Info("group: member promoted to primary")
	s.adopt(id, ballot.Term)
	s.claim(ctx, db, s.state.Group.Load())
	s.follow(ctx, db, ballot, id)
}

// chooseCandidate picks the member to promote among those that accepted the
// ballot.
func chooseCandidate(db *chervilladder.Database, g blackboard.Group, cause promotion.Cause, accepted []chervilladder.MemberStatus) (chervilladder.UpstreamID, bool) {
	if cause == promotion.CauseLeaving {
		return promotion.Successor(len(db.Upstreams), staying(db), accepted)
	}
	return promotion.Candidate(len(db.Upstreams), g.Primary, accepted)
}

// collectAcceptances asks all members in parallel to accept a ballot, and
// returns the statuses of those that did.
func (s *supervisor) collectAcceptances(ctx context.Context, db *chervilladder.Database, b chervilladder.Ballot) []chervilladder.MemberStatus {
	var mu sync.Mutex
	var accepted []chervilladder.MemberStatus
	var wait recovery.Group
	for _, u := range db.Upstreams {
		wait.Go(func() {
			status, err := s.call(ctx, db, u.ID, func(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
				return m.AcceptTerm(ctx, b)
			})
			if err != nil {
				s.logRefusal(u.ID, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, status)
		})
	}
	wait.Wait()
	return accepted
}

func (s *supervisor) logRefusal(id chervilladder.UpstreamID, err error) {
	var refused *chervilladder.TermRefusedError
	if errors.As(err, &refused) {
		s.log.WithFields(logrus.Fields{"upstream": id, "term": refused.Term}).Info("group: member refused the new term")
	}
}

// follow makes the other members follow the new primary.
func (s *supervisor) follow(ctx context.Context, db *chervilladder.Database, b chervilladder.Ballot, primary chervilladder.UpstreamID) {
	var wait recovery.Group
	for _, u := range db.Upstreams {
		if u.ID == primary {
			continue
		}
		wait.Go(func() {
			_, err := s.call(ctx, db, u.ID, func(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
				return chervilladder.MemberStatus{}, m.Follow(ctx, b, primary)
			})
			if err != nil {
				s.log.WithField("upstream", u.ID).WithError(err).Debug("group: member could not be set to follow the new primary")
			}
		})
	}
	wait.Wait()
}

// nextTerm returns a term higher than any that the members have accepted.
func nextTerm(g blackboard.Group) chervilladder.Term {
	highest := g.Term
	for _, v := range g.Members {
		highest = max(highest, v.Status.Term)
	}
	return highest + 1
}
