package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Snapshot holds the events of the last hour of one VM, or of several VMs whose
// snapshots were merged.
type Snapshot struct {
	Taken    time.Time              `json:"taken"`
	Revision chervilladder.Revision `json:"revision"`
	// VMs are the VMs whose events are in the snapshot.
	VMs     []chervilladder.VMID `json:"vms"`
	Classes []ClassSnapshot      `json:"classes"`
}

// ClassSnapshot holds the events of one class in the last hour.
type ClassSnapshot struct {
	Service chervilladder.ServiceID `json:"service"`
	Class   chervilladder.ClassID   `json:"class"`
	// Priority is zero for the most urgent work.
	Priority         chervilladder.Priority `json:"priority"`
	TargetSeconds    float64                `json:"target-seconds"`
	ObjectivePercent float64                `json:"objective-percent"`
	Short            Window                 `json:"short"`
	Long             Window                 `json:"long"`
	// Minutes holds the minutes of the long window that had events.
	Minutes []Minute `json:"minutes"`
}

// Target returns the class's target.
func (c ClassSnapshot) Target() time.Duration {
	return time.Duration(c.TargetSeconds * float64(time.Second)).Round(time.Microsecond)
}

// Window holds the events in a window of time.
type Window struct {
	Counts Counts    `json:"counts"`
	Times  Histogram `json:"times"`
}

// Minute holds the events in one minute.
type Minute struct {
	// Minute is the Unix time in minutes.
	Minute int64  `json:"minute"`
	Counts Counts `json:"counts"`
}

// Snapshot returns the last hour of the classes in the catalogue, and drops the
// records of all other classes. If the catalogue is nil, there are no classes.
func (r *Recorder) Snapshot(vm chervilladder.VMID, catalogue *chervilladder.Catalogue) Snapshot {
	if catalogue == nil {
		catalogue = &chervilladder.Catalogue{}
	}
	now := time.Now()
	r.retain(func(k classKey) bool { return classOf(catalogue, k) != nil })
	s := Snapshot{
		Taken:    now.UTC().Truncate(time.Second),
		Revision: catalogue.Revision,
		VMs:      []chervilladder.VMID{vm},
		Classes:  []ClassSnapshot{},
	}
	for _, service := range catalogue.Services {
		for _, class := range service.Classes {
			s.Classes = append(s.Classes, r.class(service.ID, class, minuteOf(now)))
		}
	}
	s.sort()
	return s
}

func classOf(catalogue *chervilladder.Catalogue, k classKey) *chervilladder.Class {
	service, ok := catalogue.Services[k.service]
	if !ok {
		return nil
	}
	return service.Classes[k.class]
}

func (r *Recorder) class(service chervilladder.ServiceID, class *chervilladder.Class, minute int64) ClassSnapshot {
	c := ClassSnapshot{
		Service:          service,
		Class:            class.ID,
		Priority:         class.Priority,
		TargetSeconds:    class.Target.Seconds(),
		ObjectivePercent: class.ObjectivePercent,
		Minutes:          []Minute{},
	}
	found := r.find(classKey{service, class.ID})
	if found == nil {
		return c
	}
	for _, s := range found.lastHour(minute) {
		c.Minutes = append(c.Minutes, Minute{Minute: s.minute, Counts: s.counts})
		c.Long.add(s)
		if s.minute > minute-shortMinutes {
			c.Short.add(s)
		}
	}
	return c
}

func (w *Window) add(s minuteSummary) {
	w.Counts = w.Counts.plus(s.counts)
	w.Times.add(s.times)
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Classes, func(a, b ClassSnapshot) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Class, b.Class),
		)
	})
}
