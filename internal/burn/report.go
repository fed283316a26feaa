package burn

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxBurnRate caps the burn rate, which is unbounded if a class whose objective
// is 100 percent has bad events.
const maxBurnRate = 1000

// The percentiles in a report.
const (
	medianPercent = 50
	tailPercent   = 99
)

// State is the state of a class with regard to its target and objective.
type State string

// The states. If several apply, the class has the last of them.
const (
	// StateIdle is a class without events in the short window that hasn't
	// burned more than the long window's error budget.
	StateIdle State = "idle"
	// StateKept is a class with events in the short window that meets its
	// objective in both windows.
	StateKept State = "kept"
	// StateSpent is a class that meets its objective in the short window, but
	// has burned more than the long window's error budget.
	StateSpent State = "spent"
	// StateBurning is a class that misses its objective in the short window.
	StateBurning State = "burning"
	// StateSlow is a class whose 99th percentile is over its target in the
	// short window: more than one response in a hundred was late.
	StateSlow State = "slow"
)

// Report compares each class with its target and objective.
type Report struct {
	Taken    time.Time              `json:"taken"`
	Revision chervilladder.Revision `json:"revision"`
	VMs      []chervilladder.VMID   `json:"vms"`
	// Warnings holds one line of text for each class that misses its target
	// or its objective, or missed its objective within the hour.
	Warnings []string      `json:"warnings"`
	Classes  []ClassReport `json:"classes"`
}

// ClassReport is the report on one class.
type ClassReport struct {
	Service          chervilladder.ServiceID `json:"service"`
	Class            chervilladder.ClassID   `json:"class"`
	Priority         string                  `json:"priority"`
	State            State                   `json:"state"`
	TargetSeconds    float64                 `json:"target-seconds"`
	ObjectivePercent float64                 `json:"objective-percent"`
	// BudgetLeftPercent is the remaining share of the long window's error
	// budget. It is negative if more than the budget has been burned.
	BudgetLeftPercent float64      `json:"budget-left-percent"`
	Short             WindowReport `json:"short"`
	Long              WindowReport `json:"long"`

	snapshot ClassSnapshot
}

// WindowReport is the report on one window.
type WindowReport struct {
	Counts Counts `json:"counts"`
	// BurnRate is the share of bad events divided by the share that the
	// objective allows. It is at most 1000.
	BurnRate      float64 `json:"burn-rate"`
	MedianSeconds float64 `json:"p50-seconds"`
	TailSeconds   float64 `json:"p99-seconds"`
}

// NewReport makes a report from a snapshot.
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
	// A burn rate of one uses up exactly the window's budget.
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
