package group

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/promotion"
	"github.com/chervilladder/chervilladder/internal/decide/proof"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// assessEvery is the interval at which a group is assessed when nothing changes.
const assessEvery = 50 * time.Millisecond

// supervisor supervises the group of one database.
type supervisor struct {
	Config
	id       chervilladder.DatabaseID
	database atomic.Pointer[chervilladder.Database]
	state    *blackboard.Database
	stop     context.CancelFunc
	running  sync.WaitGroup // done once the supervisor has stopped
	log      *logrus.Entry

	usage usage

	// retiring is set once another VM is the owner. Work in flight
	// continues, but no claim is taken and no promotion is started.
	retiring atomic.Bool
	release  *release
	// claimAfter is when the claim may be taken again.
	claimAfter time.Time
	// promoteAfter is when the next promotion may start after a failed one.
	promoteAfter time.Time
	// switchover is the planned change of the primary that is in progress, and
	// switchoverAfter when the next one may start.
	switchover      *switchover
	switchoverAfter time.Time
	// primary is the upstream that was last known as the primary.
	primary chervilladder.Upstream
}

func (s *supervisor) run(ctx context.Context) {
	s.clearGroup()
	defer s.clearGroup()
	ctx, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	watched := make(map[chervilladder.UpstreamID]watcher)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		db := s.withPrimary(s.database.Load())
		s.watchMembers(ctx, db, watched, &watchers)
		g, changed := s.state.Group.Watch()
		s.updateUsage(g, time.Now())
		s.step(ctx, db, g)
		s.configureQueue(db)
		tick.Reset(s.assessInterval())
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

type watcher struct {
	address chervilladder.Address
	stop    context.CancelFunc
}

// watchMembers starts and stops watchers so that they match the database.
func (s *supervisor) watchMembers(ctx context.Context, db *chervilladder.Database, watched map[chervilladder.UpstreamID]watcher, wait *sync.WaitGroup) {
	listed := make(map[chervilladder.UpstreamID]bool, len(db.Upstreams))
	for _, u := range db.Upstreams {
		listed[u.ID] = true
		if w, ok := watched[u.ID]; ok {
			if w.address == u.Address {
				continue
			}
			w.stop()
			s.dropMember(u.ID)
		}
		memberCtx, stop := context.WithCancel(ctx)
		watched[u.ID] = watcher{address: u.Address, stop: stop}
		recovery.Go(memberCtx, wait, s.Log, part, func(ctx context.Context) { s.watch(ctx, u) })
	}
	for id, w := range watched {
		if !listed[id] {
			w.stop()
			s.dropMember(id)
			delete(watched, id)
		}
	}
	if s.state.Group.Load().Size != len(db.Upstreams) {
		s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
			g.Size = len(db.Upstreams)
			return g
		})
	}
}

// dropMember removes the status of a member whose address has changed or that
// has left the configuration. A primary must be claimed again before more work
// is sent to it.
func (s *supervisor) dropMember(id chervilladder.UpstreamID) {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g = g.Without(id)
		if g.Primary == id {
			g.Claim = 0
		}
		return g
	})
}

// step takes the next step towards a group that is open for work.
func (s *supervisor) step(ctx context.Context, db *chervilladder.Database, g blackboard.Group) {
	now := time.Now()
	if id, term, ok := newestPrimary(g); ok && (term > g.Term || term == g.Term && id != g.Primary) {
		s.adopt(id, term)
		return
	}
	if p := g.Members[g.Primary]; g.Claim != 0 && p.Status.Claim > g.Claim {
		s.loseClaim(p.Status.Holder, now)
		return
	}
	if superseded(g) && g.Claim != 0 {
		s.dropClaim()
		return
	}
	if s.retiring.Load() {
		return
	}
	if cause := promotion.Assess(s.Promotion, g, now); cause != promotion.CauseNone {
		if now.After(s.promoteAfter) {
			s.promoteAfter = now.Add(s.CallTimeout)
			s.promote(ctx, db, g, cause)
		}
		return
	}
	if s.stepSwitchover(ctx, db, g, now) {
		return
	}
	mayClaim := g.Primary != "" && g.Claim == 0 && !superseded(g) && now.After(s.claimAfter) && g.Members[g.Primary].Err == nil
	if mayClaim && s.released(ctx, g) {
		s.claim(ctx, db, g)
	}
}

// superseded reports whether a member has accepted a higher term than the
// group's: it can then no longer be proved (package proof) that the old primary
// was still the primary when work ran in the old term.
func superseded(g blackboard.Group) bool {
	for _, v := range g.Members {
		if v.Status.Term > g.Term {
			return true
		}
	}
	return false
}

// dropClaim drops the claim, so that work waits for the new primary.
func (s *supervisor) dropClaim() {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g.Claim = 0
		return g
	})
	s.log.Info("group: a member accepted a higher term; work waits for the new primary")
}

// newestPrimary returns the member that considers itself the primary in the
// highest term that any member has accepted.
func newestPrimary(g blackboard.Group) (chervilladder.UpstreamID, chervilladder.Term, bool) {
	var highest chervilladder.Term
	for _, v := range g.Members {
		highest = max(highest, v.Status.Term)
	}
	for id, v := range g.Members {
		if v.Status.Role == chervilladder.RolePrimary && v.Status.Term == highest && v.Err == nil {
			return id, highest, true
		}
	}
	return "", 0, false
}

// adopt makes a member the primary that writes go to, once it is claimed.
func (s *supervisor) adopt(id chervilladder.UpstreamID, term chervilladder.Term) {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g.Primary, g.Term, g.Claim = id, term, 0
		return g
	})
	s.log.WithFields(logrus.Fields{"primary": id, "term": term}).Info("group: primary found")
}

// claim takes ownership at the primary. The positions that sessions observed
// earlier aren't known, so the primary's position becomes the minimum position
// of all sessions.
func (s *supervisor) claim(ctx context.Context, db *chervilladder.Database, g blackboard.Group) {
	poll, requestedAt := s.state.Polls.Last(), time.Now()
	status, err := s.call(ctx, db, g.Primary, func(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
		return m.TakeClaim(ctx, s.Board.Self.ID)
	})
	if err != nil || status.Term != g.Term {
		s.log.WithField("primary", g.Primary).WithError(err).Warn("group: claim at the primary not taken, or taken in another term")
		s.claimAfter = time.Now().Add(s.Heartbeat)
		return
	}
	s.state.MinimumPositions.Reset(chervilladder.Mark{Term: status.Term, Position: status.Received})
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		if g.Primary != status.Upstream || g.Term != status.Term {
			return g
		}
		g.Claim = status.Claim
		return g
	})
	s.recordStatus(ctx, status.Upstream, status, poll, requestedAt)
	s.log.WithFields(logrus.Fields{"primary": status.Upstream, "claim": status.Claim}).Info("group: claim taken")
}

// loseClaim drops a claim that was superseded at the primary. The VM claims it
// again only after ClaimBackoff, unless the newer claim comes from a delayed
// request of its own.
func (s *supervisor) loseClaim(holder chervilladder.VMID, now time.Time) {
	if holder != s.Board.Self.ID {
		s.claimAfter = now.Add(s.ClaimBackoff)
	}
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g.Claim = 0
		return g
	})
	s.log.WithField("holder", holder).Warn("group: claim lost")
}

// clearGroup empties the group, so that no work is sent without a new claim.
func (s *supervisor) clearGroup() {
	s.state.Group.Store(blackboard.Group{})
	s.state.Queue.Configure(nil)
}

// configureQueue sets the slots that work may use. The slots of replicas are
// offered even while the group isn't open, to reads that accept stale data.
func (s *supervisor) configureQueue(db *chervilladder.Database) {
	g := s.state.Group.Load()
	var list []schedule.Capacity
	for _, u := range db.Upstreams {
		if s.offers(g, u) {
			list = append(list, schedule.Capacity{Upstream: u.ID, Slots: u.Slots, Primary: u.ID == g.Primary})
		}
	}
	s.state.Queue.Configure(list)
}

// offers reports whether work may use the slots of a member.
func (s *supervisor) offers(g blackboard.Group, u chervilladder.Upstream) bool {
	v, known := g.Members[u.ID]
	switch {
	case v.Err != nil:
		return false
	case u.ID == g.Primary:
		return g.Open() && s.switchover == nil
	case u.Leaving:
		return false
	default:
		return g.Open() || known && v.Status.Role == chervilladder.RoleReplica
	}
}

// call runs one call to a member on a new connection.
func (s *supervisor) call(
	ctx context.Context,
	db *chervilladder.Database,
	id chervilladder.UpstreamID,
	do func(context.Context, chervilladder.Member) (chervilladder.MemberStatus, error),
) (chervilladder.MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	for _, u := range db.Upstreams {
		if u.ID != id {
			continue
		}
		m, err := s.Dial(ctx, u)
		if err != nil {
			return chervilladder.MemberStatus{}, err
		}
		defer m.Close()
		return do(ctx, m)
	}
	return chervilladder.MemberStatus{}, &chervilladder.UpstreamLostError{Upstream: id, Err: errors.New("not in the configuration")}
}

// majority returns how many members make a majority of the database's group.
func majority(db *chervilladder.Database) int {
	return proof.Majority(len(db.Upstreams))
}
