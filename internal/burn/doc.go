// Package burn measures how fast each class of work burns its error budget.
// The path of a request records events without a lock. Each VM gives a
// snapshot of the last hour; snapshots of several VMs merge as histograms, and
// a report is made of the whole:
//
//	recorder.Record(burn.Event{Service: "agenda-salas", Class: class, Took: took, Result: burn.Answered})
//	…
//	report := burn.NewReport(burn.Merge(snapshots...))
//	fmt.Print(report.Text())
package burn
