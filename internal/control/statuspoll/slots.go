package statuspoll

import (
	"cmp"
	"slices"

	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/schedule"
)

// slots returns how many statements this VM runs at a member at once. All VMs together
// may run more than the member has slots: callers spread unevenly over VMs, and the
// excess waits briefly at the member.
func slots(o blackboard.MemberObservation) int {
	return max(1, (o.Slots+1)/2)
}

func sortCapacities(list []schedule.Capacity) {
	slices.SortFunc(list, func(a, b schedule.Capacity) int { return cmp.Compare(a.Upstream, b.Upstream) })
}
