package ctl

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/operator"
)

type statusCmd struct {
	console *console
	vmOptions
}

func statusCommand(c *console) command {
	return command{
		name:  "status",
		short: "Show the status of VMs and groups",
		long: "Queries VMs for their state, their revision and how long ago the platform confirmed it, and the primary of each group." +
			"\n\nExample:\nchervilladderctl status --vm 10.0.1.1:8081 --vm 10.0.1.2:8081",
		handler: &statusCmd{console: c},
	}
}

// statusResult holds the status of the VMs that answered.
type statusResult struct {
	VMs []operator.Status `json:"vms"`
	// Groups holds each group as reported by the VM that knows its highest
	// term.
	Groups []operator.GroupStatus `json:"groups"`
	// Mixed is set if the VMs run different revisions.
	Mixed bool `json:"mixed"`
}

// Execute queries the VMs. If some of them fail, it still shows the others.
func (k *statusCmd) Execute([]string) error {
	answers, errs := queryAll[operator.Status](k.console.ctx, k.vmOptions, "/v1/status")
	r := statusResult{VMs: []operator.Status{}}
	for i, a := range answers {
		if errs[i] == nil {
			r.VMs = append(r.VMs, a)
		}
	}
	r.Groups = newestGroups(r.VMs)
	for _, vm := range r.VMs {
		r.Mixed = r.Mixed || vm.Revision != r.VMs[0].Revision
	}
	return errors.Join(k.console.show(r), errors.Join(errs...))
}

func newestGroups(vms []operator.Status) []operator.GroupStatus {
	newest := make(map[chervilladder.DatabaseID]operator.GroupStatus)
	for _, vm := range vms {
		for _, g := range vm.Groups {
			if known, ok := newest[g.Database]; !ok || g.Term > known.Term {
				newest[g.Database] = g
			}
		}
	}
	groups := make([]operator.GroupStatus, 0, len(newest))
	for _, g := range newest {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b operator.GroupStatus) int { return cmp.Compare(a.Database, b.Database) })
	return groups
}

func (r statusResult) text() string {
	var t table
	t.row("VM", "DATA CENTRE", "STATE", "REVISION", "AGE", "OWNED", "MEMBERS")
	for _, vm := range r.VMs {
		age := fmt.Sprintf("%.1fs", vm.SecondsSinceConfirmed)
		t.row(vm.VM, vm.DataCentre, vm.State, vm.Revision, age, len(vm.Owned), len(vm.Members))
	}
	if len(r.Groups) > 0 {
		t.line("")
		t.row("DATABASE", "PRIMARY", "TERM", "OWNER")
	}
	for _, g := range r.Groups {
		t.row(g.Database, g.Primary, g.Term, g.Owner)
	}
	if r.Mixed {
		t.line("\nthe VMs run different revisions; run this command again in a few seconds")
	}
	return t.String()
}
