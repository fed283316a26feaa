// Package burn measures how fast each class of work burns its error budget.
// Requests record events without taking a lock, except for the first event of a
// class and of each minute. Each VM provides a snapshot of the last hour; the
// snapshots of several VMs are merged as histograms, and a report is made from the
// merged snapshot:
//
//	recorder.Record(burn.Event{Service: "agenda-salas", Class: class, Took: took, Result: burn.Answered})
//	…
//	report := burn.NewReport(burn.Merge(snapshots...))
//	fmt.Print(report.Text())
package burn
