package failover

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

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

// keepTelling tells the VMs of the candidate until the announcement ends. Once an order has
// taken effect, only those are told that haven't accepted the candidate.
func (r *replacement) keepTelling(ctx context.Context, a *announcement) {
	t := time.NewTicker(tellAgainEvery)
	defer t.Stop()
	for a.lasts(r.k.c.Clock()) > 0 {
		select {
		case <-t.C:
			peers := r.k.candidacyPeers(r.service)
			if effective, _ := a.state(); effective {
				peers = a.missing(peers)
			}
			r.tell(ctx, a, peers)
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
