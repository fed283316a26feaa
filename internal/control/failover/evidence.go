package failover

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// evidence is what an attempt has learned of the members. It is for logs only: nothing is
// decided by it.
type evidence struct {
	mu sync.Mutex
	// replies are the members' last answers to a pause or status order.
	replies map[chervilladder.UpstreamID]reply
	// resumed are the members that have answered the order to resume.
	resumed map[chervilladder.UpstreamID]bool
	// demotions are the first demotions, at most maxDemotions.
	demotions []demotion
	// ordered is set once the promotion has been ordered.
	ordered bool
}

// maxDemotions bounds the demotions that a line lists.
const maxDemotions = 4

// reply is a member's status in its answer to an order.
type reply struct {
	status chervilladder.LinkStatus
	at     time.Time
}

// demotion is one demotion of the old primary. A peer's answer doesn't bear the status;
// the peer logs it.
type demotion struct {
	upstream chervilladder.UpstreamID
	by       chervilladder.VMID
	status   *chervilladder.LinkStatus
	at       time.Time
}

// noteOrder records a member's answer to an order.
func (e *evidence) noteOrder(by chervilladder.VMID, id chervilladder.UpstreamID, kind chervilladder.CommandKind, r reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case chervilladder.CommandPause, chervilladder.CommandStatus:
		if e.replies == nil {
			e.replies = make(map[chervilladder.UpstreamID]reply)
		}
		e.replies[id] = r
	case chervilladder.CommandResume:
		if e.resumed == nil {
			e.resumed = make(map[chervilladder.UpstreamID]bool)
		}
		e.resumed[id] = true
	case chervilladder.CommandStepDown:
		if !r.status.Primary {
			e.addDemotion(demotion{upstream: id, by: by, status: &r.status, at: r.at})
		}
	default:
	}
}

// noteDemotion records a demotion by a peer.
func (e *evidence) noteDemotion(by chervilladder.VMID, id chervilladder.UpstreamID, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addDemotion(demotion{upstream: id, by: by, at: at})
}

func (e *evidence) addDemotion(d demotion) {
	if len(e.demotions) < maxDemotions {
		e.demotions = append(e.demotions, d)
	}
}

// firstOrder marks the promotion as ordered, and reports whether it wasn't before.
func (e *evidence) firstOrder() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !e.ordered
	e.ordered = true
	return first
}

// logState logs, once an attempt, what is known of each member when the promotion is
// ordered: what it answered to the pause, and its last status in the cluster's view.
func (r *replacement) logState(candidate chervilladder.UpstreamID, epoch chervilladder.Epoch) {
	if !r.evidence.firstOrder() {
		return
	}
	v, now := r.cluster.View.Load(), r.k.c.Clock()
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"candidate": candidate, "epoch": epoch, "order-term": r.term, "left-running": r.unpaused,
		"since-pause": now.Sub(r.pausedAt).String(),
		"members":     r.describeMembers(v, now), "outside": r.describeOutside(v, now), "demotions": r.describeDemotions(now),
		"view-primary": v.Primary, "view-term": v.Term,
		"reported": r.announced.needed().String(), "silent-peers": r.silentPeers(),
		"departed-mark": v.DepartedMark.String(), "departed-open": !v.DepartedSince.IsZero(),
	}).Info("failover: state at the promotion order")
}

// describeMembers describes the members of the attempt, in the order of their ids.
func (r *replacement) describeMembers(v blackboard.ClusterView, now time.Time) []string {
	var list []string
	for id, o := range r.view.Members {
		text := string(id)
		if id == r.view.Primary {
			text += " old-primary"
		}
		if a, ok := r.evidence.replies[id]; ok {
			text += fmt.Sprintf(" pause-reply: received=%s pause-term=%d leads=%t ago=%s;", a.status.Received, a.status.PauseTerm, a.status.Primary, now.Sub(a.at))
		}
		last, known := v.Members[id]
		switch {
		case !known:
			text += " gone"
		case !last.Born.Equal(o.Born):
			text += " started-again" + describe(last, now)
		default:
			text += describe(last, now)
		}
		list = append(list, text)
	}
	slices.Sort(list)
	return list
}

// describeOutside describes the members that this VM knows, from the registry or its
// polls, and that aren't part of the attempt.
func (r *replacement) describeOutside(v blackboard.ClusterView, now time.Time) []string {
	var list []string
	for _, e := range r.k.c.Board.Upstreams.Load().Of(r.service) {
		if _, part := r.view.Members[e.ID]; part {
			continue
		}
		if _, polled := v.Members[e.ID]; !polled {
			list = append(list, string(e.ID)+" not-polled")
		}
	}
	for id, o := range v.Members {
		if _, part := r.view.Members[id]; !part {
			list = append(list, string(id)+describe(o, now))
		}
	}
	slices.Sort(list)
	return list
}

func (r *replacement) describeDemotions(now time.Time) []string {
	list := make([]string, 0, len(r.evidence.demotions))
	for _, d := range r.evidence.demotions {
		text := fmt.Sprintf("%s by=%s ago=%s", d.upstream, d.by, now.Sub(d.at))
		if d.status != nil {
			text += fmt.Sprintf(" received=%s term=%d", d.status.Received, d.status.Term)
		}
		list = append(list, text)
	}
	return list
}

// describe describes a member's last status.
func describe(o blackboard.MemberObservation, now time.Time) string {
	if o.RequestedAt.IsZero() {
		return " status: none"
	}
	text := fmt.Sprintf(" status: received=%s pause-term=%d leads=%t term=%d ago=%s", o.Status.Received, o.Status.PauseTerm, o.Status.Primary, o.Status.Term, now.Sub(o.RequestedAt))
	if !o.FailingSince.IsZero() {
		text += fmt.Sprintf(" failing-for=%s", now.Sub(o.FailingSince))
	}
	if o.Deregistered {
		text += " deregistered"
	}
	if !o.MissingSince.IsZero() {
		text += fmt.Sprintf(" entry-missing-for=%s", now.Sub(o.MissingSince))
	}
	return text
}

// logEnd logs how the attempt ended. An attempt that paused replicas and then finds another
// holder, as one that was suspended does, must not end without a line.
func (r *replacement) logEnd(err error, took time.Duration) {
	if err == nil {
		r.log.WithField("took", took).Info("failover: " + outcomes[r.replacesPrimary()])
		return
	}
	log := r.log.WithError(err).WithFields(r.remains())
	var notHolder *notHolderError
	switch {
	case errors.Is(err, errNotExclusive):
		log.Warn("failover: replicas not resumed")
	case errors.As(err, &notHolder) && r.evidence.pausedAny():
		log.Info("failover: replicas were paused, and the rest is left to the holder of the failover leadership")
	case errors.As(err, &notHolder):
		log.Debug("failover: left to the holder of the failover leadership")
	default:
		log.Warn("failover: primary not replaced or members not corrected")
	}
}

// pausedAny reports whether a member answered to the attempt's orders.
func (e *evidence) pausedAny() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.replies) > 0
}

// remains returns, for the line of a failed attempt, what the attempt leaves behind.
func (r *replacement) remains() logrus.Fields {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	var paused []string
	for id, a := range r.evidence.replies {
		if a.status.PauseTerm != 0 && !r.evidence.resumed[id] {
			paused = append(paused, string(id))
		}
	}
	slices.Sort(paused)
	return logrus.Fields{
		"order-term": r.term, "left-paused": paused,
		"old-primary-demoted": len(r.evidence.demotions) > 0, "promotion-ordered": r.evidence.ordered,
	}
}
