package ctl

import (
	"fmt"
	"strings"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

type diffCmd struct {
	console *console
	platformOptions
	Args pathArgs `positional-args:"yes" required:"yes"`
}

func diffCommand(c *console) command {
	return command{
		name:  "diff",
		short: "Compare service files with those in force",
		long: "Shows a line diff of what publishing the files would change." +
			"\n\nExample:\nchervilladderctl diff --platform 10.0.0.9:8080 services/",
		handler: &diffCmd{console: c},
	}
}

// diffResult lists how files differ from those in force.
type diffResult struct {
	Revision chervilladder.Revision `json:"revision"`
	Operator string                 `json:"operator"`
	Services []serviceDiff          `json:"services"`
}

type serviceDiff struct {
	Service chervilladder.ServiceID `json:"service"`
	// State is new, changed or same.
	State string `json:"state"`
	Diff  string `json:"diff,omitempty"`
}

// Execute implements flags.Commander.
func (k *diffCmd) Execute([]string) error {
	files, err := k.Args.read()
	if err != nil {
		return err
	}
	client, err := k.client()
	if err != nil {
		return err
	}
	index, inForce, err := publish.Load(k.console.ctx, client)
	if err != nil {
		return err
	}
	r := diffResult{Revision: index.Revision, Operator: index.Operator}
	for _, f := range files {
		r.Services = append(r.Services, diffService(f, inForce))
	}
	return k.console.show(r)
}

func diffService(f servicefile.File, inForce []servicefile.File) serviceDiff {
	d := serviceDiff{Service: f.Service, State: "new"}
	for _, old := range inForce {
		if old.Service != f.Service {
			continue
		}
		if old.Text == f.Text {
			d.State = "same"
			return d
		}
		d.State = "changed"
		d.Diff = string(diff.Diff("in force", []byte(old.Text), f.Name, []byte(f.Text)))
	}
	return d
}

func (r diffResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "in force: revision %d\n", r.Revision)
	for _, s := range r.Services {
		fmt.Fprintf(&b, "%s: %s\n%s", s.Service, s.State, s.Diff)
	}
	return b.String()
}
