package failover

import (
	"context"
	"errors"
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
	// tellAgainEvery is the time between two calls to a VM while a candidate binds.
	tellAgainEvery = 500 * time.Millisecond
)

var _ chervilladder.CandidacyAcceptor = (*Controller)(nil)

// AcceptCandidacy records a candidate, and returns the latest commit that this VM has
// reported as done before. A commit that is judged at the same time is either part of the
// answer or judged again (session.noteReported).
func (k *Controller) AcceptCandidacy(_ context.Context, c chervilladder.Candidacy) (chervilladder.CandidacyReply, error) {
	k.recordCandidacy(c)
	cluster := k.c.Board.Clusters.Get(c.Service)
	return chervilladder.CandidacyReply{Reported: cluster.Reported.Load(), Pending: k.pendingCandidacies(c.Service)}, nil
}

// recordCandidacy records a candidate of a VM, which may be this one.
func (k *Controller) recordCandidacy(c chervilladder.Candidacy) {
	cluster, now := k.c.Board.Clusters.Get(c.Service), k.c.Clock()
	candidate := blackboard.Candidate{
		Upstream: c.Candidate, By: c.By, Process: c.Process, Sequence: c.Sequence, Replaces: c.Replaces,
		Until: now.Add(min(c.ValidFor, candidacyLasts)), TookEffect: c.TookEffect,
	}
	cluster.Replacement.Update(func(r blackboard.Replacement) blackboard.Replacement { return r.Announced(candidate, now) })
	k.c.Log.WithFields(logrus.Fields{
		"service": c.Service, "candidate": c.Candidate, "by": c.By, "replaces": c.Replaces, "valid-for": c.ValidFor.String(), "reported": cluster.Reported.Load().String(),
	}).Info("failover: candidate announced")
}

// pendingCandidacies returns the candidacies of a service that bind this VM.
func (k *Controller) pendingCandidacies(service chervilladder.ServiceID) []chervilladder.Candidacy {
	now := k.c.Clock()
	var list []chervilladder.Candidacy
	for _, c := range k.c.Board.Clusters.Get(service).Replacement.Load().Candidates {
		if now.Before(c.Until) {
			list = append(list, chervilladder.Candidacy{
				Service: service, Candidate: c.Upstream, By: c.By, Process: c.Process, Sequence: c.Sequence, Replaces: c.Replaces,
				ValidFor: c.Until.Sub(now), TookEffect: c.TookEffect,
			})
		}
	}
	return list
}

// announcement is that of one candidate: which VMs have accepted it. All are told again for
// as long as an order may take effect: one may have started since.
type announcement struct {
	candidate chervilladder.UpstreamID
	at        time.Time

	mu sync.Mutex
	// until is when no order for the candidate can take effect any more; effective is set
	// once one has.
	until     time.Time
	effective bool
	// sequence is that of the announcement, or of its end.
	sequence uint64
	accepted map[chervilladder.VMID]bool
}

func (a *announcement) lasts(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.until.Sub(now)
}

// endBy has the announcement end at a time.
func (a *announcement) endBy(t time.Time, effective bool, sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until, a.effective, a.sequence = t, effective, sequence
}

// state returns what is told of the candidate now.
func (a *announcement) state() (effective bool, sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.effective, a.sequence
}

func (a *announcement) accept(by chervilladder.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepted[by] = true
}

// missing returns those of the VMs that haven't accepted the candidate.
func (a *announcement) missing(vms []chervilladder.VM) []chervilladder.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(vms), func(vm chervilladder.VM) bool { return a.accepted[vm.ID] })
}

// announcements are those of one attempt.
type announcements struct {
	mu sync.Mutex
	// current is the candidate that was announced last; nil if none is.
	current *announcement
	// reported is the latest commit that any VM has reported as done, as far as they have
	// answered.
	reported chervilladder.Mark
}

func (a *announcements) load() *announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

func (a *announcements) store(n *announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = n
}

func (a *announcements) noteReported(m chervilladder.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = a.reported.Later(m)
}

// needed returns the latest commit that a successor must hold.
func (a *announcements) needed() chervilladder.Mark {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reported
}

// announce announces the candidate to all VMs that run work of the service, this one
// included, and waits for their answers for announceTimeout. One that doesn't answer learns
// of the failover by the pause of the replicas.
func (r *replacement) announce(ctx context.Context, id chervilladder.UpstreamID) {
	r.endAnnouncement(ctx)
	now := r.k.c.Clock()
	a := &announcement{candidate: id, at: now, until: now.Add(candidacyLasts), accepted: make(map[chervilladder.VMID]bool), sequence: r.k.sequence.Add(1)}
	r.announced.store(a)
	r.tellSelf(ctx, a)
	told := make(chan struct{})
	recovery.Go(context.WithoutCancel(ctx), &r.k.running, r.k.c.Log, part, func(ctx context.Context) {
		r.tell(ctx, a, r.k.candidacyPeers(r.service))
		close(told)
		r.keepTelling(ctx, a)
	})
	wait := time.NewTimer(announceTimeout)
	defer wait.Stop()
	select {
	case <-told:
	case <-wait.C:
	}
}

// endAnnouncement tells the VMs that the announced candidate binds them no longer than until
// no order that this VM has given for it can take effect any more.
func (r *replacement) endAnnouncement(ctx context.Context) {
	a := r.announced.load()
	if a == nil {
		return
	}
	r.announced.store(nil)
	remains, effective := r.k.leadership.orderPendingFor(r.service, a.candidate)
	a.endBy(r.k.c.Clock().Add(remains), effective && !r.othersOrdered(a.candidate), r.k.sequence.Add(1))
	r.tellSelf(ctx, a)
	recovery.Go(context.WithoutCancel(ctx), &r.k.running, r.k.c.Log, part, func(ctx context.Context) {
		r.tell(ctx, a, r.k.candidacyPeers(r.service))
	})
}

func (r *replacement) tellSelf(ctx context.Context, a *announcement) {
	reply, _ := r.k.AcceptCandidacy(ctx, r.candidacy(a))
	r.announced.noteReported(reply.Reported)
}

// keepTelling tells the VMs of the candidate until the announcement ends.
func (r *replacement) keepTelling(ctx context.Context, a *announcement) {
	t := time.NewTicker(tellAgainEvery)
	defer t.Stop()
	for a.lasts(r.k.c.Clock()) > 0 {
		select {
		case <-t.C:
			r.tell(ctx, a, r.k.candidacyPeers(r.service))
		case <-r.k.ended:
			return
		}
	}
}

// tell tells peers of a candidate and waits for their answers.
func (r *replacement) tell(ctx context.Context, a *announcement, peers []chervilladder.VM) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	others := slices.DeleteFunc(r.k.pendingCandidacies(r.service), r.k.isOwn)
	var calls recovery.Group
	for _, p := range peers {
		calls.Go(func() {
			for _, c := range others {
				r.k.passOn(ctx, p, c)
			}
			reply, err := r.k.c.PeerCandidacies.AcceptCandidacy(ctx, p.Peer, r.candidacy(a))
			if err != nil {
				return
			}
			for _, c := range slices.DeleteFunc(reply.Pending, r.k.knows) {
				r.k.recordCandidacy(c)
			}
			r.announced.noteReported(reply.Reported)
			a.accept(p.ID)
		})
	}
	calls.Wait()
}

// passOn tells a peer of another VM's candidate: that VM may have ended, and the peer
// started, since it was announced.
func (k *Controller) passOn(ctx context.Context, peer chervilladder.VM, c chervilladder.Candidacy) {
	if _, err := k.c.PeerCandidacies.AcceptCandidacy(ctx, peer.Peer, c); err != nil {
		k.c.Log.WithError(err).WithField("vm", peer.ID).Debug("failover: candidate not passed on")
	}
}

// isOwn reports whether this process has announced a candidacy.
func (k *Controller) isOwn(c chervilladder.Candidacy) bool {
	return c.By == k.c.Board.Self.ID && c.Process == k.process
}

// knows reports whether this process has announced a candidacy or been told of it.
func (k *Controller) knows(c chervilladder.Candidacy) bool {
	return k.isOwn(c) || slices.ContainsFunc(k.c.Board.Clusters.Get(c.Service).Replacement.Load().Candidates, func(o blackboard.Candidate) bool {
		return o.Upstream == c.Candidate && o.By == c.By && o.Process == c.Process
	})
}

// othersOrdered reports whether another process may have ordered a member, too: the effect
// that was seen may be that of its order.
func (r *replacement) othersOrdered(id chervilladder.UpstreamID) bool {
	return slices.ContainsFunc(r.k.pendingCandidacies(r.service), func(c chervilladder.Candidacy) bool {
		return c.Candidate == id && !r.k.isOwn(c)
	})
}

func (r *replacement) candidacy(a *announcement) chervilladder.Candidacy {
	effective, sequence := a.state()
	return chervilladder.Candidacy{
		Service: r.service, Candidate: a.candidate, By: r.k.c.Board.Self.ID, Replaces: r.view.Term, ValidFor: max(0, a.lasts(r.k.c.Clock())),
		TookEffect: effective, Process: r.k.process, Sequence: sequence,
	}
}

// acceptedByAll reports whether a member is the candidate that was announced last, and all
// VMs have accepted it.
func (r *replacement) acceptedByAll(id chervilladder.UpstreamID) bool {
	a := r.announced.load()
	return a != nil && a.candidate == id && len(a.missing(r.k.candidacyPeers(r.service))) == 0
}

// silentPeers returns the VMs that haven't accepted the candidate, for logs.
func (r *replacement) silentPeers() []string {
	a := r.announced.load()
	if a == nil {
		return nil
	}
	var list []string
	for _, p := range a.missing(r.k.candidacyPeers(r.service)) {
		list = append(list, string(p.ID))
	}
	slices.Sort(list)
	return list
}

// coversOrder reports whether an order for a member given now is covered by its announcement
// until the last moment at which it can take effect.
func (r *replacement) coversOrder(id chervilladder.UpstreamID) bool {
	a := r.announced.load()
	return a != nil && a.candidate == id && r.k.c.Clock().Sub(a.at) < orderWithin
}

// candidacyPeers returns the peers that are told of candidates: all that may run work of the
// service.
func (k *Controller) candidacyPeers(service chervilladder.ServiceID) []chervilladder.VM {
	routing, peers := k.c.Board.Routing.Load(), k.c.Board.Peers.Load()
	if k.c.PeerCandidacies == nil || routing == nil {
		return nil
	}
	all := append(slices.Clone(peers), k.c.Board.Self)
	fleet := hosting.Fleet{VMs: len(all), Services: len(routing.Services), Connections: routing.Services[service].MaxConnections}
	hosts, _ := hosting.Choose(service, all, fleet)
	if len(hosts) == 0 {
		return peers // each VM runs work of each service
	}
	return slices.DeleteFunc(hosts, func(vm chervilladder.VM) bool { return vm.ID == k.c.Board.Self.ID })
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

// reportedLostAfter is how long no candidate must have held what was reported before that
// counts as lost: a member that has crashed is back sooner, with its log.
const reportedLostAfter = 15 * time.Second

// behindGap is the time without such an attempt after which reportedLostAfter begins anew.
const behindGap = 5 * time.Second

// behindTimes are the times of attempts that found no candidate that holds what was
// reported: the first of a series, and the last.
type behindTimes struct{ first, last time.Time }

// noteBehind records an attempt that found no candidate that holds what was reported.
func (k *Controller) noteBehind(service chervilladder.ServiceID, err error) {
	var behind *behindError
	if !errors.As(err, &behind) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now, t := k.c.Clock(), k.behind[service]
	if now.Sub(t.last) > behindGap {
		t.first = now
	}
	t.last = now
	k.behind[service] = t
}

// reportedIsLost reports whether nobody can hold the last reported commits any more: no
// candidate has for long, and each registered member takes part in the attempt. The service
// would have no primary for ever otherwise.
func (r *replacement) reportedIsLost() bool {
	r.k.mu.Lock()
	t, now := r.k.behind[r.service], r.k.c.Clock()
	r.k.mu.Unlock()
	if now.Sub(t.last) > behindGap || now.Sub(t.first) < reportedLostAfter || r.anyRegisteredSince() {
		return false
	}
	for _, e := range r.k.c.Board.Upstreams.Load().Of(r.service) {
		if !r.cluster.View.Load().Members[e.ID].Answers() {
			return false
		}
	}
	r.log.WithField("reported", r.announced.needed().String()).Error("failover: commits that were reported as done are on no member any more")
	return true
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
	if v.Confirmations > 0 && !r.reportedIsLost() {
		needed = needed.Later(r.announced.needed())
	}
	if !candidate.Received.Covers(needed) {
		return &behindError{Needed: needed}
	}
	return nil
}
