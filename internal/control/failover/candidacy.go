package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// A promotion is decided at one moment and takes effect at another, maybe seconds later or
// twice, and commits go on in between. So the VM that orders it announces the candidate to
// all VMs first. From then on each reports a commit as done only if the candidate holds it,
// until no order for the candidate can take effect any more; and each answers with the
// latest commit that it has reported before, which the candidate must hold when it is
// ordered. docs/design/replacement.md has the whole of it.

const (
	// announceTimeout bounds the wait for the VMs' answers before the old primary is
	// demoted. Later answers count until the order.
	announceTimeout = 100 * time.Millisecond
	// orderWithin is how long after the announcement the promotion is ordered at the
	// latest; later the candidate is announced anew.
	orderWithin = 4 * time.Second
	// candidacyLasts is how long an announcement is valid.
	candidacyLasts = orderWithin + lateOrderLimit
)

var _ chervilladder.CandidacyAcceptor = (*Controller)(nil)

// AcceptCandidacy records a candidate, and returns the latest commit that this VM has
// reported as done before. A commit that is judged at the same time is either part of the
// answer or judged again (session.noteReported).
func (k *Controller) AcceptCandidacy(_ context.Context, c chervilladder.Candidacy) (chervilladder.Mark, error) {
	cluster, now := k.c.Board.Clusters.Get(c.Service), k.c.Clock()
	_, member := cluster.View.Load().Members[c.Candidate]
	candidate := blackboard.Candidate{
		Upstream: c.Candidate, By: c.By, Replaces: c.Replaces, Until: now.Add(min(c.ValidFor, candidacyLasts)), WasMember: member,
	}
	cluster.Replacement.Update(func(r blackboard.Replacement) blackboard.Replacement { return r.Announced(candidate, now) })
	reported := cluster.Reported.Load()
	k.c.Log.WithFields(logrus.Fields{
		"service": c.Service, "candidate": c.Candidate, "by": c.By, "replaces": c.Replaces, "valid-for": c.ValidFor.String(), "reported": reported.String(),
	}).Info("failover: candidate announced")
	return reported, nil
}

// announcement is what the VMs have answered to the announcement of a candidate.
type announcement struct {
	mu sync.Mutex
	// candidate was announced at the time at; empty if none was.
	candidate chervilladder.UpstreamID
	at        time.Time
	// reported is the latest commit that any VM has reported as done.
	reported chervilladder.Mark
	// silent are the VMs that haven't answered.
	silent map[chervilladder.VMID]bool
}

func (a *announcement) begin(id chervilladder.UpstreamID, at time.Time, peers []chervilladder.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate, a.at = id, at
	a.silent = make(map[chervilladder.VMID]bool)
	for _, p := range peers {
		a.silent[p.ID] = true
	}
}

func (a *announcement) answered(by chervilladder.VMID, reported chervilladder.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = a.reported.Later(reported)
	delete(a.silent, by)
}

// needed returns the latest commit that any VM has reported, as far as they have answered.
func (a *announcement) needed() chervilladder.Mark {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reported
}

// coversOrder reports whether an order for a member given now is covered by the
// announcement until the last moment at which it can take effect.
func (a *announcement) coversOrder(id chervilladder.UpstreamID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate == id && now.Sub(a.at) < orderWithin
}

// announced returns the candidate that was announced last; empty if none was.
func (a *announcement) announced() chervilladder.UpstreamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate
}

// acceptedByAll reports whether all VMs have answered.
func (a *announcement) acceptedByAll() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate != "" && len(a.silent) == 0
}

// describe returns the VMs that haven't answered, for logs.
func (a *announcement) describe() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []string
	for id := range a.silent {
		list = append(list, string(id))
	}
	slices.Sort(list)
	return list
}

// announce announces the candidate to all VMs that run work of the service, this one
// included, and waits for their answers for announceTimeout. One that doesn't answer learns
// of the failover by the pause of the replicas.
func (r *replacement) announce(ctx context.Context, id chervilladder.UpstreamID) {
	if before := r.announcement.announced(); before != "" && before != id {
		r.withdraw(ctx)
	}
	peers := r.k.candidacyPeers(r.service)
	r.announcement.begin(id, r.k.c.Clock(), peers)
	answered := r.tell(ctx, r.candidacy(id, candidacyLasts), peers)
	wait := time.NewTimer(announceTimeout)
	defer wait.Stop()
	select {
	case <-answered:
	case <-wait.C:
	}
}

// withdraw tells the VMs that the announced candidate binds them no longer than until no
// order that this VM has given for it can take effect any more.
func (r *replacement) withdraw(ctx context.Context) {
	id := r.announcement.announced()
	if id == "" {
		return
	}
	remains := r.k.leadership.orderPendingFor(r.service, id)
	r.announcement.begin("", time.Time{}, nil)
	r.tell(ctx, r.candidacy(id, remains), r.k.candidacyPeers(r.service))
}

func (r *replacement) candidacy(id chervilladder.UpstreamID, lasts time.Duration) chervilladder.Candidacy {
	return chervilladder.Candidacy{Service: r.service, Candidate: id, By: r.k.c.Board.Self.ID, Replaces: r.view.Term, ValidFor: lasts}
}

// tell tells this VM and then its peers of a candidacy. It returns a channel that is closed
// once all have answered. The calls go on after the context's end, since an announcement
// that is withdrawn too late keeps commits waiting.
func (r *replacement) tell(ctx context.Context, c chervilladder.Candidacy, peers []chervilladder.VM) <-chan struct{} {
	all := make(chan struct{})
	reported, _ := r.k.AcceptCandidacy(ctx, c)
	r.announcement.answered(c.By, reported)
	recovery.Go(context.WithoutCancel(ctx), &r.k.running, r.k.c.Log, part, func(ctx context.Context) {
		defer close(all)
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		var calls recovery.Group
		for _, p := range peers {
			calls.Go(func() {
				if reported, err := r.k.c.PeerCandidacies.AcceptCandidacy(ctx, p.Peer, c); err == nil {
					r.announcement.answered(p.ID, reported)
				}
			})
		}
		calls.Wait()
	})
	return all
}

// candidacyPeers returns the peers that are told of candidates.
func (k *Controller) candidacyPeers(service chervilladder.ServiceID) []chervilladder.VM {
	if k.c.PeerCandidacies == nil {
		return nil
	}
	return hosting.Ranked(service, k.c.Board.Peers.Load(), maxServicePeers)
}

// confirmCandidate asks the candidate for its status, and returns an error unless it still
// is what it was when it was chosen and holds all that was reported. It may have started
// again since, without its log.
func (r *replacement) confirmCandidate(ctx context.Context, best lead.Paused) error {
	if r.unpaused != "" {
		return r.awaitCandidate(ctx, best)
	}
	status, err := r.sendOrder(ctx, r.view.Members[best.Upstream], chervilladder.Command{Kind: chervilladder.CommandPause, Term: r.term})
	if err != nil {
		return r.awaitCandidate(ctx, best)
	}
	return r.checkStatus(best, status)
}

// awaitCandidate is confirmCandidate by the polls of the candidate: one that was left running
// may still be about to receive the latest commits, and one may not have answered the order.
// If it is too busy to tell its status, what it has told since the pause counts.
func (r *replacement) awaitCandidate(ctx context.Context, best lead.Paused) error {
	since := r.k.c.Clock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	recovery.Go(ctx, &r.k.running, r.k.c.Log, part, r.pollStatuses)
	r.cluster.PollTrigger.Ask()
	told := func(o blackboard.MemberObservation, since time.Time) error {
		switch {
		case o.RequestedAt.Before(since):
			return fmt.Errorf("%w: %s", errUnreachable, best.Upstream)
		case r.unpaused == "" && o.Status.PauseTerm < r.term:
			return errNotAllPaused
		default:
			return r.checkStatus(best, o.Status)
		}
	}
	confirmed := func(v blackboard.ClusterView) bool { return told(v.Members[best.Upstream], since) == nil }
	if r.cluster.Await(ctx, confirmed) {
		return nil
	}
	o := r.cluster.View.Load().Members[best.Upstream]
	if !o.BusyAt.Before(since) {
		since = r.pausedAt
	}
	return told(o, since)
}

// checkStatus compares a status of the candidate with what it was when it was chosen.
func (r *replacement) checkStatus(best lead.Paused, status chervilladder.LinkStatus) error {
	if lacks(status.Received, best.Received) || r.startedAgain(best.Upstream) {
		return errNotAllPaused
	}
	best.Received = best.Received.Later(status.Received)
	return r.checkHeld(best)
}

// checkHeld returns an error if a candidate lacks a commit that a VM has reported, or that
// a departed replica may have confirmed.
func (r *replacement) checkHeld(candidate lead.Paused) error {
	v := r.cluster.View.Load()
	needed := v.DepartedMark
	if v.Confirmations > 0 {
		needed = needed.Later(r.announcement.needed())
	}
	if !candidate.Received.Covers(needed) {
		return &behindError{Needed: needed}
	}
	return nil
}
