package ctl

import (
	"errors"
	"fmt"
	"os"

	"github.com/chervilladder/chervilladder/internal/burn"
)

// pageMode is the file mode of the HTML report.
const pageMode = 0o644

type burnCmd struct {
	console *console
	vmOptions
	HTML string `long:"html" value-name:"FILE" description:"Also write the report as an HTML page to this file"`
}

func burnCommand(c *console) command {
	return command{
		name:  "burn",
		short: "Report how fast classes burn their error budgets",
		long: "Queries VMs for the last hour of each class of work, merges the answers and compares each class with its objective. " +
			"List every VM; otherwise the report covers only a part of the work." +
			"\n\nExample:\nchervilladderctl burn --vm 10.0.1.1:8081 --vm 10.0.1.2:8081 --html burn.html",
		handler: &burnCmd{console: c},
	}
}

// burnResult implements result with a burn report.
type burnResult struct {
	burn.Report
}

func (r burnResult) text() string { return r.Text() }

// Execute queries the VMs. If some of them fail, it still reports on the
// others.
func (k *burnCmd) Execute([]string) error {
	answers, errs := queryAll[burn.Snapshot](k.console.ctx, k.vmOptions, "/v1/burn")
	var snapshots []burn.Snapshot
	for i, a := range answers {
		if errs[i] == nil {
			snapshots = append(snapshots, a)
		}
	}
	failed := errors.Join(errs...)
	if len(snapshots) == 0 {
		return failed
	}
	report := burn.NewReport(burn.Merge(snapshots...))
	if err := k.writePage(report); err != nil {
		return err
	}
	return errors.Join(k.console.show(burnResult{report}), failed)
}

func (k *burnCmd) writePage(report burn.Report) error {
	if k.HTML == "" {
		return nil
	}
	page, err := report.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.HTML, []byte(page), pageMode); err != nil {
		return fmt.Errorf("write the HTML page: %w; check the path after --html", err)
	}
	return nil
}
