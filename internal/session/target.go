package session

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	decide "github.com/chervilladder/chervilladder/internal/decide/placement"
)

// maxAlternatives is how many further VMs a command is sent to, one after another and
// without a delay, after others refused it. The first of them isn't charged to the retry
// budget.
const maxAlternatives = 3

// errNoHostingVM reports a service without a VM to forward its work to.
var errNoHostingVM = errors.New("no VM is known that hosts the service")

// targets are the VMs to which a command was forwarded.
type targets struct {
	// tried are the VMs that failed to run it. avoid is the VM that the other attempt of a
	// hedged read was forwarded to.
	tried []chervilladder.VMID
	avoid chervilladder.VMID
	// alternatives counts the VMs that it was sent to without a delay after others
	// refused it.
	alternatives int
	// leaves is set if the work of its caller is to leave the data centre.
	leaves bool
	// chosenAt is when the last VM was chosen, by this VM's own clock.
	chosenAt time.Time
}

// excluded reports whether the command is to be forwarded to other VMs before this one.
func (t *targets) excluded(vm chervilladder.VMID) bool {
	return vm == t.avoid || slices.Contains(t.tried, vm)
}

// spreadKey returns the text by whose hash work is spread over VMs. All callers of an
// account share one, so that few VMs hold connections for the account.
func (w *work) spreadKey() string {
	if w.identity.Account != "" {
		return string(w.identity.Account)
	}
	return string(w.session.key)
}

// nextTarget returns the VM to forward the next attempt to, and its standing. Once all
// VMs have been tried, it forgets that and starts over.
func (w *work) nextTarget() (chervilladder.VMID, decide.Standing, error) {
	h, _ := w.forwardTargets()
	if len(h.VMs) == 0 {
		return "", decide.Unresponsive, errNoHostingVM
	}
	if w.targets == nil {
		w.targets = new(targets)
	}
	caller := xxhash.Sum64String(w.spreadKey())
	w.targets.leaves = h.LeavesDataCentre() && w.session.m.c.Board.Locality.Load()[w.kind()].Leaves(caller)
	w.targets.chosenAt = w.session.m.c.Clock()
	best, untried := w.chooseHost(caller, h)
	if !untried {
		w.targets.tried, w.targets.avoid = nil, ""
		best, _ = w.chooseHost(caller, h)
	}
	return best.VM, best.Standing, nil
}

// chooseHost chooses among the hosts that the work wasn't sent to, by what this VM knows of
// each. It returns false if there is none.
func (w *work) chooseHost(caller uint64, h blackboard.Hosts) (decide.Host, bool) {
	choice := decide.Choice{Caller: caller}
	for i, vm := range h.VMs {
		if !w.targets.excluded(vm) {
			choice.Offer(w.assessHost(h, i))
		}
	}
	return choice.Best()
}

// assessHost returns the i-th host as this VM knows it.
func (w *work) assessHost(h blackboard.Hosts, i int) decide.Host {
	board, vm := w.session.m.c.Board, h.VMs[i]
	t, _ := board.ForwardTargets.Find(vm)
	s, _ := board.HostStates.Find(blackboard.ServiceHost{VM: vm, Service: w.route.Service})
	standing, cost := decide.Assess(w.baseStanding(h, i), t, s, w.route.Priority, w.kind().Access, w.targets.chosenAt)
	return decide.Host{VM: vm, Standing: standing, Cost: cost}
}

// baseStanding returns the standing of the i-th host while nothing is known against it.
func (w *work) baseStanding(h blackboard.Hosts, i int) decide.Standing {
	switch {
	case h.IsSpare(i):
		return decide.Spare
	case w.targets.leaves:
		if i < h.OwnCount {
			return decide.Fallback
		}
		return decide.Preferred
	case i < max(1, h.FirstCount):
		return decide.Preferred
	default:
		return decide.Fallback
	}
}

// kind returns the kind of the work as it is forwarded.
func (w *work) kind() blackboard.Kind {
	k := blackboard.Kind{Service: w.route.Service, Priority: w.route.Priority, Access: w.access}
	if w.inTransaction {
		k.Access = chervilladder.AccessWrite
	}
	return k
}

// LeaveReason is why work was forwarded to a VM of another data centre.
type LeaveReason string

// The reasons.
const (
	// LeftNot is work that was answered in the VM's data centre.
	LeftNot LeaveReason = ""
	// LeftForCost is work that loses less time at another data centre.
	LeftForCost LeaveReason = "cost"
	// LeftUnusable is work that no host of the data centre could run.
	LeftUnusable LeaveReason = "unusable"
	// LeftNoHost is work of a service without a host in the data centre.
	LeftNoHost LeaveReason = "no-host"
)

// left returns why the work was last forwarded to another data centre.
func (w *work) left() LeaveReason {
	board := w.session.m.c.Board
	if w.forwardedTo == "" || board.Members.Load().Members[w.forwardedTo].VM.DataCentre == board.Self.DataCentre {
		return LeftNot
	}
	switch h := board.Hosting.Load().Elsewhere[w.route.Service]; {
	case h.OwnCount == 0:
		return LeftNoHost
	case w.targets != nil && w.targets.leaves:
		return LeftForCost
	default:
		return LeftUnusable
	}
}

// upstreamElsewhere reports whether the work ran at an upstream of another data centre.
func (w *work) upstreamElsewhere() bool {
	board := w.session.m.c.Board
	if w.upstream == "" || board.Self.DataCentre == "" {
		return false
	}
	dc := board.Upstreams.Load().ByID[w.upstream].DataCentre
	return dc != "" && dc != board.Self.DataCentre
}

// refusedBy records that a VM didn't run the work, and reports whether to forward it to
// another VM at once: one that nothing is known against, while the deadline permits.
func (w *work) refusedBy(vm chervilladder.VMID, r chervilladder.Reason) bool {
	if !w.recordRefusal(vm, r) {
		return false
	}
	w.targets.tried = append(w.targets.tried, vm)
	if w.targets.alternatives >= maxAlternatives || time.Until(w.deadline) <= 0 {
		return false
	}
	_, standing, err := w.nextTarget()
	if allTried := w.targets.tried == nil; err != nil || allTried || !standing.Usable() {
		return false
	}
	if w.targets.alternatives > 0 && !w.cluster.Retries.Spend() {
		return false
	}
	w.targets.alternatives++
	return true
}

// recordRefusal records what a refusal says about the VM, and reports whether another VM
// may run the work.
func (w *work) recordRefusal(vm chervilladder.VMID, r chervilladder.Reason) bool {
	board, now := w.session.m.c.Board, w.session.m.c.Clock()
	switch r {
	case chervilladder.ReasonNoPrimary:
		w.hostState(vm).ReportPrimary(false, now)
	case chervilladder.ReasonDraining:
		board.ForwardTargets.Get(vm).DrainingAt.Raise(now)
	case chervilladder.ReasonNoOwner:
	default:
		return false
	}
	return true
}

// sent records that the work is sent to a VM, and returns when, by this VM's own clock.
func (w *work) sent(vm chervilladder.VMID) time.Time {
	var now time.Time
	if w.targets != nil {
		now = w.targets.chosenAt // reading the clock takes a system call
	} else {
		now = w.session.m.c.Clock()
	}
	if w.needsPrimary() {
		w.hostState(vm).Sent(now, decide.SilentUntil)
	}
	return now
}

// hostState returns what this VM knows of the work's service at a VM.
func (w *work) hostState(vm chervilladder.VMID) *blackboard.HostState {
	return w.session.m.c.Board.HostStates.Get(blackboard.ServiceHost{VM: vm, Service: w.route.Service})
}

// answered records what the answer of a VM says about it.
func (w *work) answered(vm chervilladder.VMID, r forwardResponse, sentAt time.Time, roundTrip time.Duration) {
	now := sentAt.Add(roundTrip)
	t := w.session.m.c.Board.ForwardTargets.Get(vm)
	t.Answered(now)
	s := w.hostState(vm)
	if w.needsPrimary() && r.Upstream != "" && r.Result.Code != chervilladder.CodeBusy {
		s.Served(now)
	}
	if r.Took == 0 {
		return // an earlier build, which reports nothing about itself
	}
	t.Overhead.Add(roundTrip - r.Took)
	s.ReportPrimary(!r.NoPrimary, now)
	s.Wait(w.route.Priority, w.kind().Access).Store(r.Wait, now)
}

// lastUnanswered returns when a VM last failed to answer; zero if it never did.
func (w *work) lastUnanswered(vm chervilladder.VMID) time.Time {
	if t, ok := w.session.m.c.Board.ForwardTargets.Find(vm); ok {
		return t.FailedAt.Load()
	}
	return time.Time{}
}

// markUnresponsive records that a VM failed to answer, so that it is tried last.
func (w *work) markUnresponsive(vm chervilladder.VMID) {
	w.session.m.c.Board.ForwardTargets.Get(vm).Failed(w.session.m.c.Clock())
}
