package blackboard

import (
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Replacement is what this VM knows of the replacement of a cluster's primary:
// the replicas that an order may still make the primary. While there is one, a commit is
// reported as done only if each of them holds it.
type Replacement struct {
	Candidates []Candidate
}

// Candidate is a replica that an order may make the primary.
type Candidate struct {
	Upstream chervilladder.UpstreamID
	// By is the VM that orders it.
	By chervilladder.VMID
	// Replaces is the term of the primary that it replaces.
	Replaces chervilladder.Term
	// Until is when no order for it can take effect any more.
	Until time.Time
	// Process tells the processes of that VM apart, and Sequence orders its announcements.
	Process, Sequence uint64
	// TookEffect is set once all orders for it were answered and one was seen to take effect.
	TookEffect bool
}

// Announced returns the replacement after a process has announced a candidate: in place of
// its earlier announcement of it, and without the candidates whose time is over. An
// announcement that was overtaken by a later one doesn't shorten its time.
func (r Replacement) Announced(c Candidate, now time.Time) Replacement {
	list := slices.DeleteFunc(slices.Clone(r.Candidates), func(o Candidate) bool {
		same := o.Upstream == c.Upstream && o.By == c.By && o.Process == c.Process
		if same && c.Sequence < o.Sequence && c.Until.Before(o.Until) {
			c = o
		}
		return same || !now.Before(o.Until)
	})
	if now.Before(c.Until) {
		list = append(list, c)
	}
	return Replacement{Candidates: list}
}

// Has reports whether an announcement is known.
func (r Replacement) Has(c Candidate) bool {
	return slices.ContainsFunc(r.Candidates, func(o Candidate) bool {
		return o.Upstream == c.Upstream && o.By == c.By && o.Process == c.Process && o.Sequence == c.Sequence
	})
}

// Pending returns the candidates that an order may still make the primary: those that don't
// lead and whose time isn't over, also if their registration has expired. One that has led
// and was replaced is pending again until then, since an order may take effect twice; but not
// while it is out of sight, as after a crash.
func (r Replacement) Pending(v ClusterView, now time.Time) []Candidate {
	var list []Candidate
	for _, c := range r.Candidates {
		leads := v.Primary == c.Upstream && v.Term > c.Replaces
		outOfSight := c.TookEffect && !v.Members[c.Upstream].Answers()
		if !leads && !outOfSight && now.Before(c.Until) {
			list = append(list, c)
		}
	}
	return list
}
