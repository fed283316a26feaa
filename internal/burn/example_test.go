package burn_test

import (
	"fmt"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
)

func ExampleNewReport() {
	vm := func(id chervilladder.VMID, good, late uint64) burn.Snapshot {
		w := burn.Window{Counts: burn.Counts{Good: good, Late: late}}
		return burn.Snapshot{VMs: []chervilladder.VMID{id}, Classes: []burn.ClassSnapshot{{
			Service: "agenda-salas", Class: "lookup", ObjectivePercent: 99, Short: w, Long: w,
		}}}
	}
	report := burn.NewReport(burn.Merge(vm("vm-1", 95, 5), vm("vm-2", 99, 1)))
	fmt.Println(report.Classes[0].State, report.Classes[0].Short.BurnRate)
	// Output: slow 3
}
