package ctl

import (
	"errors"
	"fmt"
	"os"

	"github.com/chervilladder/chervilladder/internal/burn"
)

// pageMode is the mode of a written page.
const pageMode = 0o644

type burnReport struct {
	console *console
	vmOptions
	HTML string `long:"html" value-name:"FILE" description:"Write the report as a page to this file too"`
}

func burnCommand(c *console) command {
	return command{
		name:  "burn",
		short: "Report how fast classes burn their error budgets",
		long: "Asks VMs for the last hour of each class of work, merges the answers and reports each class against its objective. " +
			"Give every VM, or the report covers only a part of the work." +
			"\n\nExample:\nchervilladderctl burn --vm 10.0.1.1:8081 --vm 10.0.1.2:8081 --html burn.html",
		handler: &burnReport{console: c},
	}
}

// burnResult is a report as a result.
type burnResult struct {
	burn.Report
}

func (r burnResult) text() string { return r.Text() }

// Execute asks the VMs. It reports on the good answers also when some are
// missing.
func (k *burnReport) Execute([]string) error {
	answers, errs := askAll[burn.Snapshot](k.console.ctx, k.vmOptions, "/v1/burn")
	var good []burn.Snapshot
	for i, a := range answers {
		if errs[i] == nil {
			good = append(good, a)
		}
	}
	missing := errors.Join(errs...)
	if len(good) == 0 {
		return missing
	}
	report := burn.NewReport(burn.Merge(good...))
	if err := k.writePage(report); err != nil {
		return err
	}
	return errors.Join(k.console.show(burnResult{report}), missing)
}

func (k *burnReport) writePage(report burn.Report) error {
	if k.HTML == "" {
		return nil
	}
	page, err := report.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.HTML, []byte(page), pageMode); err != nil {
		return fmt.Errorf("write the page: %w; check the path after --html", err)
	}
	return nil
}
