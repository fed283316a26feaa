package failover

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// reordering carries candidacies to one peer; withdrawals are somewhat longer on the way.
type reordering struct {
	to    *Controller
	delay time.Duration
}

func (n reordering) AcceptCandidacy(ctx context.Context, _ chervilladder.Address, c chervilladder.Candidacy) (chervilladder.CandidacyReply, error) {
	if c.ValidFor == 0 {
		time.Sleep(n.delay)
	}
	return n.to.AcceptCandidacy(ctx, c)
}

func newTestController(id chervilladder.VMID, peers chervilladder.PeerCandidacyAcceptor) *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := blackboard.New(chervilladder.VM{ID: id})
	b.Routing.Store(&chervilladder.Routing{})
	return &Controller{
		c: Config{Board: b, Log: log, Clock: time.Now, PeerCandidacies: peers}, leadership: &leadership{clock: time.Now},
		behind: make(map[chervilladder.ServiceID]behindTimes), ended: make(chan struct{}),
	}
}

// A candidate that is announced anew binds a peer that has accepted it, also if the
// withdrawal of its earlier announcement arrives later.
func TestCandidateThatIsAnnouncedAnewBindsItsPeers(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			unbound := 0
			const tries = 200
			for range tries {
				synctest.Test(t, func(t *testing.T) {
					peer := newTestController("vm-1", nil)
					holder := newTestController("vm-0", reordering{to: peer, delay: delay})
					holder.c.Board.Peers.Store([]chervilladder.VM{{ID: "vm-1"}})
					ended, end := context.WithCancel(t.Context())
					holder.ended = ended.Done()
					r := &replacement{k: holder, service: "s", cluster: holder.c.Board.Clusters.Get("s"), log: holder.c.Log.WithField("service", "s")}
					r.announce(t.Context(), "i-1")
					r.announce(t.Context(), "i-1")
					time.Sleep(50 * time.Millisecond)
					if r.acceptedByAll("i-1") && len(peer.c.Board.Clusters.Get("s").Replacement.Load().Candidates) == 0 {
						unbound++
					}
					end()
					holder.running.Wait()
				})
			}
			t.Logf("accepted and not bound: %d of %d", unbound, tries)
			is.New(t).Equal(unbound, 0)
		})
	}
}

// An order whose answer was lost long ago has no part in what a later order leaves behind.
func TestPendingOrdersOfLongAgoDontCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &leadership{clock: time.Now, heldSince: time.Now()}
		l.markOrdered("s", "i-1") // the answer is lost
		l.markOrdered("s", "i-1")
		l.markAnswered("s", "i-1", true)
		l.markEffective("s", "i-1")
		time.Sleep(time.Hour)
		l.markOrdered("s", "i-1")
		l.markAnswered("s", "i-1", true)
		l.markEffective("s", "i-1")
		_, effective := l.orderPendingFor("s", "i-1")
		if !effective {
			t.Error("an effective order doesn't count as such")
		}
		time.Sleep(time.Hour)
		l.markOrdered("s", "i-2")
		l.markAnswered("s", "i-2", true)
		l.markEffective("s", "i-2")
		time.Sleep(time.Hour)
		l.markOrdered("s", "i-2")
		l.markAnswered("s", "i-2", false) // refused
		is.True(l.noPromotionPending("s", func(chervilladder.UpstreamID) bool { return false }))
	})
}

// What an attempt of long ago has found is no reason to give up reported commits.
func TestReportedCommitsAreNotLostByAnAttemptOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestController("vm-0", nil)
		k.noteBehind("s", &behindError{})
		time.Sleep(time.Second)
		k.noteBehind("s", errChanged) // the primary is back
		time.Sleep(time.Hour)
		r := &replacement{k: k, service: "s", cluster: k.c.Board.Clusters.Get("s"), log: k.c.Log.WithField("service", "s")}
		is.New(t).True(!r.reportedIsLost())
	})
}
