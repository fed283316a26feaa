package burn

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxBurnRate stands for a rate without bound: bad events of a class whose
// objective leaves no budget.
const maxBurnRate = 1000

// The percentiles that a report gives.
const (
	medianPercent = 50
	tailPercent   = 99
)

// State says how a class stands.
type State string

// The states, best first.
const (
	// StateIdle has no events.
	StateIdle State = "idle"
	// StateKept keeps its objective in the short window.
	StateKept State = "kept"
	// StateSpent has burned more than the long window's error budget.
	StateSpent State = "spent"
	// StateBurning misses its objective in the short window.
	StateBurning State = "burning"
	// StateSlow has a 99th percentile over its target in the short window,
	// which is to say that over one answer in a hundred was late.
	StateSlow State = "slow"
)

// Report says how each class stands against its objective.
type Report struct {
	Taken    time.Time              `json:"taken"`
	Revision chervilladder.Revision `json:"revision"`
	VMs      []chervilladder.VMID   `json:"vms"`
	// Warnings holds one plain line for each class that misses its target
	// or its objective, or did so within the hour.
	Warnings []string      `json:"warnings"`
	Classes  []ClassReport `json:"classes"`
}

// ClassReport says how one class stands.
type ClassReport struct {
	Service          chervilladder.ServiceID `json:"service"`
	Class            chervilladder.ClassID   `json:"class"`
	Priority         string                  `json:"priority"`
	State            State                   `json:"state"`
	TargetSeconds    float64                 `json:"target-seconds"`
	ObjectivePercent float64                 `json:"objective-percent"`
	// BudgetLeftPercent is the share of the long window's error budget that
	// is left. It is below zero when more than the budget is burned.
	BudgetLeftPercent float64      `json:"budget-left-percent"`
	Short             WindowReport `json:"short"`
	Long              WindowReport `json:"long"`

	snapshot ClassSnapshot
}

// WindowReport is what a report says of a window.
type WindowReport struct {
	Counts Counts `json:"counts"`
	// BurnRate is one when events go bad just as fast as the objective
	// allows. It is at most 1000.
	BurnRate      float64 `json:"burn-rate"`
	MedianSeconds float64 `json:"p50-seconds"`
	TailSeconds   float64 `json:"p99-seconds"`
}

// NewReport makes a report of a snapshot.
func NewReport(s Snapshot) Report {
	r := Report{
		Taken: s.Taken, Revision: s.Revision, VMs: s.VMs,
		Warnings: []string{}, Classes: []ClassReport{},
	}
	for _, c := range s.Classes {
		class := newClassReport(c)
		r.Classes = append(r.Classes, class)
		if w := class.warning(); w != "" {
			r.Warnings = append(r.Warnings, w)
		}
	}
	return r
}

func newClassReport(c ClassSnapshot) ClassReport {
	r := ClassReport{
		Service: c.Service, Class: c.Class, Priority: c.Priority.String(),
		TargetSeconds: c.TargetSeconds, ObjectivePercent: c.ObjectivePercent,
		Short:    newWindowReport(c.Short, c.ObjectivePercent),
		Long:     newWindowReport(c.Long, c.ObjectivePercent),
		snapshot: c,
	}
	// The budget of the window is used up when its burn rate is one.
	r.BudgetLeftPercent = 100 * (1 - r.Long.BurnRate)
	r.State = r.state()
	return r
}

func newWindowReport(w Window, objective float64) WindowReport {
	return WindowReport{
		Counts:        w.Counts,
		BurnRate:      burnRate(w.Counts, objective),
		MedianSeconds: w.Times.Percentile(medianPercent).Seconds(),
		TailSeconds:   w.Times.Percentile(tailPercent).Seconds(),
	}
}

func burnRate(c Counts, objective float64) float64 {
	if c.Bad() == 0 {
		return 0
	}
	bad := float64(c.Bad()) / float64(c.Total())
	allowed := (100 - objective) / 100
	if bad > allowed*maxBurnRate {
		return maxBurnRate
	}
	return bad / allowed
}

func (r ClassReport) state() State {
	answered := r.Short.Counts.Good + r.Short.Counts.Late
	switch {
	case r.Short.Counts.Late*100 > answered*(100-tailPercent):
		return StateSlow
	case r.Short.BurnRate > 1:
		return StateBurning
	case r.Long.BurnRate > 1:
		return StateSpent
	case r.Short.Counts.Total() == 0:
		return StateIdle
	default:
		return StateKept
	}
}
