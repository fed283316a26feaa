package lead

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Commit is a commit that a primary has acknowledged to this VM.
type Commit struct {
	By   chervilladder.UpstreamID
	Mark chervilladder.Mark
	// AckedAt is when this VM received the acknowledgement, by its own clock. Settled is
	// whether the cluster was settled then.
	AckedAt time.Time
	Settled bool
}

// Fate says what this VM knows of an acknowledged commit.
type Fate uint8

const (
	// FateOpen is a commit that newer statuses will decide on.
	FateOpen Fate = iota
	// FateKept is a commit that a failover keeps.
	FateKept
	// FateInDoubt is a commit that a failover may lose.
	FateInDoubt
)

const (
	// settledAfter is how long a primary must have answered without a break. A VM that
	// found it unreachable before may still be about to pause the replicas.
	settledAfter = 3 * time.Second
	// reportedWithin is how long ago a replica that counts must have answered. One that is
	// too busy to report keeps its last status.
	reportedWithin = 2 * time.Second
	// ReplyWait is how long a commit waits for a replica's word if the cluster was settled.
	// Replicas that are overloaded would hold up writes for as long as a status may take.
	ReplyWait = 50 * time.Millisecond
	// suspectAfter is for how long the replication may stall or lag. After somewhat more
	// the primary is replaced.
	suspectAfter = 700 * time.Millisecond
)

// FateOf judges an acknowledged commit: whether each upstream that may become the next
// primary holds it. It is in doubt once another member leads than the one that acknowledged
// it.
//
// While replicas are candidates, that is each of them, whatever others confirm: an order may
// take effect at any time, and makes the candidate the primary with what it holds then.
//
// Without a candidate this VM may not have been told of a failover. The failover promotes one
// of the replicas that it has paused, and the replica that confirmed the commit may be one
// that it doesn't know: it has just joined, or its registration has expired. So the commit is
// kept only if
//
//  1. a replica was found to hold the commit: a failover that pauses it finds the commit,
//     too. While replicas are paused, it must have been a member before them, or the
//     failover doesn't count it; or
//  2. the cluster is settled, or was when the commit was acknowledged, and no replica has
//     told since what it holds: all were too busy, or didn't answer within ReplyWait.
func FateOf(v blackboard.ClusterView, r blackboard.Replacement, c Commit, now time.Time) Fate {
	switch {
	case v.Confirmations == 0:
		return FateKept // the service accepts the loss of commits
	case v.Primary != c.By:
		return FateInDoubt
	}
	if candidates := r.Pending(v, now); len(candidates) > 0 {
		return fateByCandidates(v, candidates, c)
	}
	switch {
	case heldByReplica(v, c):
		return FateKept
	case (c.Settled || Settled(v, now)) && noReplicaTold(v, c, now):
		return FateKept
	case allPausedSince(v, c.AckedAt):
		return FateInDoubt
	default:
		return FateOpen
	}
}

// noReplicaTold reports whether all replicas that answer were too busy, since a commit was
// acknowledged, to tell what they hold, or whether none has told it within ReplyWait.
func noReplicaTold(v blackboard.ClusterView, c Commit, now time.Time) bool {
	told, busy, replicas := 0, 0, 0
	for id, o := range v.Members {
		if id == v.Primary || !o.Answers() {
			continue
		}
		replicas++
		if !o.RequestedAt.Before(c.AckedAt) {
			told++
		}
		if !o.BusyAt.Before(c.AckedAt) {
			busy++
		}
	}
	return told == 0 && (busy == replicas || now.Sub(c.AckedAt) >= ReplyWait)
}

// ReplicaToAsk returns the replica that has likely received the primary's last commit first;
// empty if none answers.
func ReplicaToAsk(v blackboard.ClusterView) chervilladder.UpstreamID {
	var best chervilladder.UpstreamID
	for id, o := range v.Members {
		if id == v.Primary || !o.Answers() || o.Status.PauseTerm != 0 {
			continue
		}
		b := v.Members[best]
		if best == "" || o.Status.Lag < b.Status.Lag || o.Status.Lag == b.Status.Lag && id < best {
			best = id
		}
	}
	return best
}

// fateByCandidates judges a commit by the candidates alone.
func fateByCandidates(v blackboard.ClusterView, candidates []blackboard.Candidate, c Commit) Fate {
	fate := FateKept
	for _, candidate := range candidates {
		o := v.Members[candidate.Upstream]
		switch {
		case holds(v, o, c):
		case o.Answers() && !o.RequestedAt.Before(c.AckedAt) && o.Status.PauseTerm > v.Term:
			return FateInDoubt // it receives nothing any more
		default:
			fate = FateOpen
		}
	}
	return fate
}

// holds reports whether a replica's last status shows that it holds a commit.
func holds(v blackboard.ClusterView, o blackboard.MemberObservation, c Commit) bool {
	return c.Mark != (chervilladder.Mark{}) && !o.Status.Primary && o.Status.Term == v.Term && o.Status.Received.Covers(c.Mark)
}

// Settled reports whether the primary has answered without a break, all replicas that have
// answered lately follow it, and the primary gives no cause to be replaced soon.
func Settled(v blackboard.ClusterView, now time.Time) bool {
	p := v.Members[v.Primary]
	if !p.Answers() || now.Sub(p.RespondingSince) < settledAfter || suspect(v, p, now) {
		return false
	}
	replicas := 0
	for id, o := range v.Members {
		reported, busy := now.Sub(o.RequestedAt) <= reportedWithin, now.Sub(o.BusyAt) <= reportedWithin
		switch {
		case id == v.Primary || !o.Answers():
		case (reported || busy) && follows(o, v.Term):
			replicas++
		case reported:
			return false
		}
	}
	return replicas > 0
}

// suspect reports whether a primary that answers may be replaced soon: it leaves, or its
// replicas don't keep up.
func suspect(v blackboard.ClusterView, p blackboard.MemberObservation, now time.Time) bool {
	stalled := !p.StalledSince.IsZero() && now.Sub(p.StalledSince) >= suspectAfter && anyReportedAfter(v, p.StalledSince)
	lagging := !v.LaggingSince.IsZero() && now.Sub(v.LaggingSince) >= suspectAfter
	return p.Leaves() || stalled || lagging
}

// anyReportedAfter reports whether a replica's status was requested after a point in time.
func anyReportedAfter(v blackboard.ClusterView, since time.Time) bool {
	for id, o := range v.Members {
		if id != v.Primary && o.RequestedAt.After(since) {
			return true
		}
	}
	return false
}

// heldByReplica reports whether a replica that a failover counts holds a commit.
func heldByReplica(v blackboard.ClusterView, c Commit) bool {
	for id, o := range v.Members {
		if id != v.Primary && holds(v, o, c) && memberBeforePauses(v, o) {
			return true
		}
	}
	return false
}

// memberBeforePauses reports whether a replica was a member without a break since before
// others were found paused for a later term.
func memberBeforePauses(v blackboard.ClusterView, o blackboard.MemberObservation) bool {
	for id, other := range v.Members {
		if id != v.Primary && id != o.ID && other.Status.PauseTerm > v.Term && !o.RespondingSince.Before(other.PausedSince) {
			return false
		}
	}
	return true
}

// allPausedSince reports whether all replicas that answer were found paused for a later
// term at a point in time or later.
func allPausedSince(v blackboard.ClusterView, since time.Time) bool {
	paused := 0
	for id, o := range v.Members {
		if id == v.Primary || !o.Answers() {
			continue
		}
		if o.RequestedAt.Before(since) || o.Status.PauseTerm <= v.Term {
			return false
		}
		paused++
	}
	return paused > 0
}
