package ctl

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/operator"
)

type explainCmd struct {
	console *console
	vmOptions
	Database string `long:"database" value-name:"NAME" required:"yes" description:"The database that the request is for"`
	Account  string `long:"account" value-name:"NAME" description:"The client account of the caller, where callers have one"`
	Access   string `long:"access" choice:"read" choice:"write" default:"read" description:"Whether the request reads or writes"`
}

func explainCommand(c *console) command {
	return command{
		name:  "explain",
		short: "Explain where a request would go now, without sending it",
		long: "Asks VMs what each would do with a request: run it at a member, forward it to another VM or refuse it. It shows what speaks for and against each host and member." +
			"\n\nOn the prepared platform a VM answers at its address for metrics." +
			"\n\nExample:\nchervilladderctl explain --vm 10.0.1.1:9464 --database agenda-1 --account acme --access write",
		handler: &explainCmd{console: c},
	}
}

// explainResult holds the explanations of the VMs that answered.
type explainResult struct {
	Explanations []chervilladder.Explanation `json:"explanations"`
}

// Execute queries the VMs. If some of them fail, it still shows the others.
func (k *explainCmd) Execute([]string) error {
	values := url.Values{"database": {k.Database}, "account": {k.Account}, "access": {k.Access}}
	answers, errs := queryAll[chervilladder.Explanation](k.console.ctx, k.vmOptions, operator.ExplainPath+"?"+values.Encode())
	r := explainResult{Explanations: []chervilladder.Explanation{}}
	for i, a := range answers {
		if errs[i] == nil {
			r.Explanations = append(r.Explanations, a)
		}
	}
	return errors.Join(k.console.show(r), errors.Join(errs...))
}

func (r explainResult) text() string {
	parts := make([]string, 0, len(r.Explanations))
	for _, e := range r.Explanations {
		parts = append(parts, explanationText(e))
	}
	return strings.Join(parts, "\n")
}

// explanationText returns the decision of one VM and what led to it.
func explanationText(e chervilladder.Explanation) string {
	var t table
	decision := fmt.Sprintf("%s: %s", e.VM, e.Decision)
	if e.Reason != "" {
		decision += " (" + string(e.Reason) + ")"
	}
	if e.Left != "" {
		decision += ", leaves the data centre (" + e.Left + ")"
	}
	if e.Decision == chervilladder.DecisionRun {
		decision += fmt.Sprintf(", expected wait %.1f ms", e.WaitMS)
	}
	if e.QuotaLeft != nil {
		decision += fmt.Sprintf(", %d operations left here", *e.QuotaLeft)
	}
	t.line(decision)
	if len(e.Hosts) > 0 {
		t.row("HOST", "CHOSEN", "STANDING", "COST MS")
	}
	for _, h := range e.Hosts {
		t.row(h.VM, yes(h.Chosen), h.Standing, fmt.Sprintf("%.1f", h.CostMS))
	}
	if len(e.Members) > 0 {
		t.row("MEMBER", "DATA CENTRE", "ROLE", "USABLE", "AGAINST", "AGE MS")
	}
	for _, m := range e.Members {
		role := "replica"
		if m.Primary {
			role = "primary"
		}
		t.row(m.Upstream, m.DataCentre, role, yes(m.Usable), m.Against, fmt.Sprintf("%.0f", m.AgeMS))
	}
	return t.String()
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
