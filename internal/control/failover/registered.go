package failover

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The functions of this file compare an attempt with the upstreams that are registered: a
// replica that isn't part of it confirms commits that the candidate may lack.

// readUpstreamsTimeout bounds the wait for the list of upstreams. The read is requested
// again after readUpstreamsAgainAfter.
const (
	readUpstreamsTimeout    = time.Second
	readUpstreamsAgainAfter = 200 * time.Millisecond
)

// addRegistered includes the registered upstreams that this VM hasn't polled yet.
func (r *replacement) addRegistered() {
	members := maps.Clone(r.view.Members)
	for _, e := range r.k.c.Board.Upstreams.Load().Of(r.service) {
		if e.ID != r.view.Primary && r.unknown(e) {
			members[e.ID] = blackboard.MemberObservation{KnownUpstream: e}
		}
	}
	r.view.Members = members
}

// anyRegisteredSince reports whether an upstream is registered that isn't part of the
// attempt, or that has started again since. Other VMs may know it and take what it confirms
// for kept, whether this VM reaches it or not.
func (r *replacement) anyRegisteredSince() bool {
	registered := r.k.c.Board.Upstreams.Load().Of(r.service)
	return slices.ContainsFunc(registered, func(e blackboard.KnownUpstream) bool {
		return e.ID != r.view.Primary && r.unknown(e)
	})
}

// unknown reports whether an upstream isn't part of the attempt as it is registered.
func (r *replacement) unknown(e blackboard.KnownUpstream) bool {
	member, known := r.view.Members[e.ID]
	return !known || !member.Born.Equal(e.Born)
}

// readUpstreams has the list of upstreams read anew from the store. What this VM knows may
// be as old as a watch that no longer reports changes, and the other VMs' lists newer.
func (r *replacement) readUpstreams(ctx context.Context) error {
	since := r.k.c.Clock()
	ctx, cancel := context.WithTimeout(ctx, readUpstreamsTimeout)
	defer cancel()
	for {
		upstreams, changed := r.k.c.Board.Upstreams.Watch()
		if !upstreams.ReadAt.Before(since) {
			return nil
		}
		r.k.c.Board.UpstreamsTrigger.Ask()
		again := time.NewTimer(readUpstreamsAgainAfter)
		select {
		case <-changed:
		case <-again.C:
		case <-ctx.Done():
		}
		again.Stop()
		if ctx.Err() != nil {
			return errUpstreamsNotRead
		}
	}
}
