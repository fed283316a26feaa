package failover

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
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
	before := cluster.Replacement.Load()
	cluster.Replacement.Update(func(r blackboard.Replacement) blackboard.Replacement { return r.Announced(candidate, now) })
	if before.Has(candidate) {
		return // told again
	}
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
