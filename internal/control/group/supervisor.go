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
)

// assessEvery is how often the evidence is judged when nothing changes.
const assessEvery = 50 * time.Millisecond

// supervisor looks after one database.
type supervisor struct {
	Config
	id       chervilladder.DatabaseID
	database atomic.Pointer[chervilladder.Database]
	state    *blackboard.Database
	stop     context.CancelFunc
	done     chan struct{} // closed once the supervisor has stopped
	log      *logrus.Entry

	use use

	// retiring is set once another VM is the owner. The work in flight goes
	// on, but neither claim nor promotion is begun.
	retiring atomic.Bool
	release  *release
	// standOffUntil is when the claim may be taken again.
	standOffUntil time.Time
	// promoteAfter holds back the next promotion after a failed one.
	promoteAfter time.Time
	// handover is the planned change of the primary that is under way, and
	// handoverAfter when the next one may begin.
	handover      *handover
	handoverAfter time.Time
	// primary is the upstream that was last known as the primary.
	primary chervilladder.Upstream
}

func (s *supervisor) run(ctx context.Context) {
	s.forget()
	defer s.forget()
	var watchers sync.WaitGroup
	defer watchers.Wait()
	watched := make(map[chervilladder.UpstreamID]watcher)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		db := s.withPrimary(s.database.Load())
		s.watchMembers(ctx, db, watched, &watchers)
		g, changed := s.state.Group.Watch()
		s.noteUse(g, time.Now())
		s.step(ctx, db, g)
		s.configure(db)
		tick.Reset(s.assessPause())
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
			s.drop(u.ID)
		}
		memberCtx, stop := context.WithCancel(ctx)
		watched[u.ID] = watcher{address: u.Address, stop: stop}
		wait.Go(func() { s.watch(memberCtx, u) })
	}
	for id, w := range watched {
		if !listed[id] {
			w.stop()
			s.drop(id)
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

// drop forgets the evidence of a member that has moved or left the
// configuration. The primary is claimed anew before work is sent to it again.
func (s *supervisor) drop(id chervilladder.UpstreamID) {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g = g.Without(id)
		if g.Primary == id {
			g.Claim = 0
		}
		return g
	})
}

// step takes the next step towards an open group.
func (s *supervisor) step(ctx context.Context, db *chervilladder.Database, g blackboard.Group) {
	now := time.Now()
	if id, term, ok := newestPrimary(g); ok && (term > g.Term || term == g.Term && id != g.Primary) {
		s.adopt(id, term)
		return
	}
	if p := g.Members[g.Primary]; g.Claim != 0 && p.Status.Claim > g.Claim {
		s.lose(p.Status.Holder, now)
		return
	}
	if superseded(g) && g.Claim != 0 {
		s.suspend()
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
	if s.handOver(ctx, db, g, now) {
		return
	}
	mayClaim := g.Primary != "" && g.Claim == 0 && !superseded(g) && now.After(s.standOffUntil) && g.Members[g.Primary].Err == nil
	if mayClaim && s.released(ctx, g) {
		s.claim(ctx, db, g)
	}
}

// superseded reports whether a member has accepted a higher term than the
// group's: nothing that runs in the old one can be proved any more.
func superseded(g blackboard.Group) bool {
	for _, v := range g.Members {
		if v.Status.Term > g.Term {
			return true
		}
	}
	return false
}

// suspend gives up the claim, so that work waits for the new primary.
func (s *supervisor) suspend() {
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g.Claim = 0
		return g
	})
	s.log.Info("group: term superseded, work waits")
}

// newestPrimary returns the member that takes itself for a primary in the
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

// claim takes ownership at the primary. What sessions observed before is not
// known, so all are held to the primary's position.
func (s *supervisor) claim(ctx context.Context, db *chervilladder.Database, g blackboard.Group) {
	tick, asked := s.state.Evidence.Now(), time.Now()
	status, err := s.call(ctx, db, g.Primary, func(ctx context.Context, m chervilladder.Member) (chervilladder.MemberStatus, error) {
		return m.TakeClaim(ctx, s.Board.Self.ID)
	})
	if err != nil || status.Term != g.Term {
		s.log.WithField("primary", g.Primary).WithError(err).Warn("group: claim not taken")
		s.standOffUntil = time.Now().Add(s.Heartbeat)
		return
	}
	s.state.Floors.Reset(chervilladder.Mark{Term: status.Term, Position: status.Received})
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		if g.Primary != status.Upstream || g.Term != status.Term {
			return g
		}
		g.Claim = status.Claim
		return g
	})
	s.answered(ctx, status.Upstream, status, tick, asked)
	s.log.WithFields(logrus.Fields{"primary": status.Upstream, "claim": status.Claim}).Info("group: claim taken")
}

// lose gives up a claim that another VM has taken over.
// A request of this VM that arrived late leaves it nothing to stand off from.
func (s *supervisor) lose(holder chervilladder.VMID, now time.Time) {
	if holder != s.Board.Self.ID {
		s.standOffUntil = now.Add(s.StandOff)
	}
	s.state.Group.Update(func(g blackboard.Group) blackboard.Group {
		g.Claim = 0
		return g
	})
	s.log.WithField("holder", holder).Warn("group: claim lost")
}

// forget empties the group, so that nothing is sent without a new claim.
func (s *supervisor) forget() {
	s.state.Group.Store(blackboard.Group{})
	s.state.Queue.Configure(nil)
}

// configure tells the queue which slots work may use. Those of replicas are
// offered also while the group isn't open, to reads that accept older data.
func (s *supervisor) configure(db *chervilladder.Database) {
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
		return g.Open() && s.handover == nil
	case u.Leaving:
		return false
	default:
		return g.Open() || known && v.Status.Role == chervilladder.RoleReplica
	}
}

// call runs one call to a member on a fresh connection.
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
