package statuspoll

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The lines of this file show what a replacement of the primary can't expect of a member:
// that it has lost its pause, a part of its log, or all of its state.

// logRegress logs that a member isn't paused any more without an order of this VM, or that
// its log went back.
func (p *prober) logRegress(before, now blackboard.MemberObservation) {
	if before.RequestedAt.IsZero() {
		return
	}
	log := p.log().WithFields(logrus.Fields{
		"was-received": before.Status.Received.String(), "received": now.Status.Received.String(),
		"was-pause-term": before.Status.PauseTerm, "pause-term": now.Status.PauseTerm,
		"was-leading": before.Status.Primary, "leads": now.Status.Primary, "was-term": before.Status.Term, "term": now.Status.Term,
		"since": now.RequestedAt.Sub(before.RequestedAt).String(),
	})
	if now.Status.PauseTerm < before.Status.PauseTerm && !now.Status.Primary && !p.resumedSince(before.RequestedAt) {
		log.Info("statuspoll: a member is not paused any more, without an order of this VM")
	}
	if wentBack(before.Status.Received, now.Status.Received) {
		log.Info("statuspoll: the log of a member went back")
	}
}

// resumedSince reports whether this VM has ordered the member to resume since a status was
// requested.
func (p *prober) resumedSince(t time.Time) bool {
	resumed, ok := p.cluster.Resumed.Find(p.upstream.ID)
	return ok && !resumed.Load().Before(t)
}

// wentBack reports whether a log has lost its end. A replica that was ahead of a new
// primary is rolled back to that one's log, so its term rises then.
func wentBack(before, now chervilladder.Mark) bool {
	return !now.Covers(before) || now.Position < before.Position
}

// logRestart logs that a member has started again under its id.
func (p *prober) logRestart(e blackboard.KnownUpstream) {
	if p.upstream.Born.Equal(e.Born) {
		return
	}
	o := p.cluster.View.Load().Members[p.upstream.ID]
	p.log().WithFields(logrus.Fields{
		"was-born": p.upstream.Born, "born": e.Born, "was-received": o.Status.Received.String(), "was-pause-term": o.Status.PauseTerm, "was-leading": o.Status.Primary,
	}).Info("statuspoll: a member has started again")
}

// logRemoved logs the last status of a member that is removed from a cluster, and the mark
// of departed replicas from then on.
func (k *Controller) logRemoved(service chervilladder.ServiceID, o blackboard.MemberObservation, mark chervilladder.Mark) {
	fields := logrus.Fields{
		"upstream": o.ID, "service": service, "received": o.Status.Received.String(), "pause-term": o.Status.PauseTerm, "leads": o.Status.Primary,
		"departed-mark": mark.String(),
	}
	if !o.RequestedAt.IsZero() {
		fields["ago"] = k.c.Clock().Sub(o.RequestedAt).String()
	}
	k.c.Log.WithFields(fields).Info("statuspoll: a member was removed")
}
