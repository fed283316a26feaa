package burn

import (
	"cmp"
	"slices"

	"github.com/chervilladder/chervilladder"
)

// Merge merges the snapshots of several VMs. Histograms and counts are added,
// never averaged. A class's priority, target and objective are those of the
// newest revision. Of several snapshots of a VM, only the newest is used.
func Merge(snapshots ...Snapshot) Snapshot {
	merged := Snapshot{Classes: []ClassSnapshot{}}
	indexes := make(map[classKey]int)
	for _, s := range newest(snapshots) {
		merged.Revision = s.Revision
		merged.VMs = append(merged.VMs, s.VMs...)
		if s.Taken.After(merged.Taken) {
			merged.Taken = s.Taken
		}
		for _, c := range s.Classes {
			k := classKey{c.Service, c.Class}
			i, ok := indexes[k]
			if !ok {
				i = len(merged.Classes)
				indexes[k] = i
				merged.Classes = append(merged.Classes, ClassSnapshot{Service: c.Service, Class: c.Class, Minutes: []Minute{}})
			}
			merged.Classes[i].merge(c)
		}
	}
	slices.Sort(merged.VMs)
	merged.sort()
	return merged
}

// newest returns the snapshots without those of VMs that have a newer one, oldest first.
func newest(snapshots []Snapshot) []Snapshot {
	sorted := slices.Clone(snapshots)
	slices.SortStableFunc(sorted, func(a, b Snapshot) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), a.Taken.Compare(b.Taken))
	})
	var kept []Snapshot
	seen := make(map[chervilladder.VMID]bool)
	for _, s := range slices.Backward(sorted) {
		if slices.ContainsFunc(s.VMs, func(vm chervilladder.VMID) bool { return seen[vm] }) {
			continue
		}
		for _, vm := range s.VMs {
			seen[vm] = true
		}
		kept = append(kept, s)
	}
	slices.Reverse(kept)
	return kept
}

// merge adds a snapshot of the same class, of the same or a newer revision.
func (c *ClassSnapshot) merge(o ClassSnapshot) {
	c.Priority = o.Priority
	c.TargetSeconds = o.TargetSeconds
	c.ObjectivePercent = o.ObjectivePercent
	c.Short.merge(o.Short)
	c.Long.merge(o.Long)
	c.Minutes = mergeMinutes(c.Minutes, o.Minutes)
}

func (w *Window) merge(o Window) {
	w.Counts = w.Counts.plus(o.Counts)
	w.Times.merge(o.Times.times)
}

func mergeMinutes(a, b []Minute) []Minute {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Minute) int { return cmp.Compare(x.Minute, y.Minute) })
	merged := all[:0]
	for _, m := range all {
		if n := len(merged); n > 0 && merged[n-1].Minute == m.Minute {
			merged[n-1].Counts = merged[n-1].Counts.plus(m.Counts)
			continue
		}
		merged = append(merged, m)
	}
	return merged
}
