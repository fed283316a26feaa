package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

var _ chervilladder.Explainer = (*Manager)(nil)

// Explain returns where a request would go now. It asks the decisions that the path of a
// request asks, and changes nothing.
func (m *Manager) Explain(q chervilladder.ExplainQuery) chervilladder.Explanation {
	e := chervilladder.Explanation{
		VM: m.c.Board.Self.ID, Database: q.Database, Account: q.Account, Decision: chervilladder.DecisionRefuse,
	}
	route, err := m.route(q.Database)
	if err != nil {
		e.Reason = notRunReason(err)
		return e
	}
	e.Service, e.Priority = route.Service, route.Priority.String()
	s := &session{m: m, db: q.Database, identity: chervilladder.Identity{Account: q.Account, Name: string(q.Account)}}
	w := &work{session: s, access: q.Access, arrived: time.Now(), asOf: m.c.Clock(), targets: new(targets)}
	w.setRoute(route)
	if e.Reason = w.refusedBefore(&e); e.Reason != "" {
		return e
	}
	if h, elsewhere := w.forwardTargets(); elsewhere {
		w.explainForward(h, &e)
	} else {
		w.explainRun(&e)
	}
	return e
}

// reasonDenied stands for a client account that the configuration doesn't name.
const reasonDenied chervilladder.Reason = "denied"

// refusedBefore returns why the work is refused before it is placed; empty if it isn't.
func (w *work) refusedBefore(e *chervilladder.Explanation) chervilladder.Reason {
	board := w.session.m.c.Board
	if err := w.session.checkTaken(allowance(w.route, chervilladder.CommandNone, w.access)); err != nil {
		return chervilladder.ReasonDraining
	}
	routing, account := board.Routing.Load(), w.identity.Account
	required := routing.Accounts != nil || board.Bounds.Load().AccountsRequired
	if required && !w.route.Open && !routing.Accounts.Names(account) {
		return reasonDenied
	}
	q, ok := board.Quotas.Find(account)
	if !ok {
		return ""
	}
	now := w.session.m.c.Clock()
	left := q.Loans.Left(now)
	e.QuotaLeft = &left
	if left == 0 && now.Before(q.Supply.Load().ShortUntil) {
		return chervilladder.ReasonQuota
	}
	return ""
}

// explainForward explains which VM the work is forwarded to.
func (w *work) explainForward(h blackboard.Hosts, e *chervilladder.Explanation) {
	vm, _, err := w.nextTarget()
	if err != nil {
		e.Reason = chervilladder.ReasonNoOwner
		return
	}
	e.Decision = chervilladder.DecisionForward
	w.forwardedTo = vm
	e.Left = string(w.left())
	for i := range h.VMs {
		host := w.assessHost(h, i)
		e.Hosts = append(e.Hosts, chervilladder.ExplainedHost{
			VM: host.VM, Chosen: host.VM == vm, Standing: host.Standing.String(), CostMS: milliseconds(host.Cost),
		})
	}
}

// explainRun explains which members may run the work at this VM.
func (w *work) explainRun(e *chervilladder.Explanation) {
	e.WaitMS = milliseconds(w.cluster.Queue.Backlog(w.route.Priority, w.access))
	view, now := w.cluster.View.Load(), w.session.m.c.Clock()
	required, proven := w.minPosition, true
	if !w.needsPrimary() {
		var mark chervilladder.Mark
		mark, proven = w.cluster.Positions.Load().Bound(w.route.MaxAge, w.asOf)
		required = minPosition{mark: mark, at: w.asOf.Add(-w.route.MaxAge)}
	}
	for id, o := range view.Members {
		against := w.against(o, id == view.Primary, proven, required)
		e.Members = append(e.Members, chervilladder.ExplainedMember{
			Upstream: id, DataCentre: o.DataCentre, Primary: id == view.Primary,
			Usable: against == "", Against: against, AgeMS: milliseconds(now.Sub(o.RequestedAt)),
		})
	}
	slices.SortFunc(e.Members, func(a, b chervilladder.ExplainedMember) int { return cmp.Compare(a.Upstream, b.Upstream) })
	usable := slices.ContainsFunc(e.Members, func(m chervilladder.ExplainedMember) bool { return m.Usable })
	switch err := w.checkReachable(); {
	case w.needsPrimary() && err != nil:
		e.Reason = chervilladder.ReasonNoPrimary
	case !usable:
		e.Reason = chervilladder.ReasonNoPrimary
	default:
		e.Decision = chervilladder.DecisionRun
	}
}

// against returns what rules a member out for the work; empty if nothing does.
func (w *work) against(o blackboard.MemberObservation, primary, proven bool, required minPosition) string {
	switch {
	case o.RequestedAt.IsZero():
		return "no status yet"
	case !o.Answers():
		return "doesn't answer"
	case o.Deregistered:
		return "has left"
	case primary:
		return ""
	case w.needsPrimary():
		return "not the primary"
	case o.Leaves():
		return "drains"
	case !proven:
		return "the primary's position isn't known"
	case !w.readable(o.ID, required):
		return "lags"
	default:
		return ""
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
