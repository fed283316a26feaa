package ctl

import (
	"fmt"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

type checkCmd struct {
	console *console
	Args    pathArgs `positional-args:"yes" required:"yes"`
}

func checkCommand(c *console) command {
	return command{
		name:  "check",
		short: "Check service files",
		long: "Checks service files, individually and against each other, and prints every fault with its position and how to fix it. " +
			"A directory stands for the .json files in it." +
			"\n\nExample:\nchervilladderctl check services/",
		handler: &checkCmd{console: c},
	}
}

// checkResult lists the files that were checked.
type checkResult struct {
	Services []checkedService `json:"services"`
}

type checkedService struct {
	File      string                  `json:"file"`
	Service   chervilladder.ServiceID `json:"service"`
	Databases int                     `json:"databases"`
	Upstreams int                     `json:"upstreams"`
	Classes   int                     `json:"classes"`
}

// Execute implements flags.Commander.
func (k *checkCmd) Execute([]string) error {
	files, err := k.Args.read()
	if err != nil {
		return err
	}
	r := checkResult{}
	for _, f := range files {
		r.Services = append(r.Services, checkedService{
			File: f.Name, Service: f.Service, Databases: len(f.Databases),
			Upstreams: countUpstreams(f), Classes: len(f.Classes),
		})
	}
	return k.console.show(r)
}

func countUpstreams(f servicefile.File) int {
	n := 0
	for _, db := range f.Databases {
		n += len(db.Upstreams)
	}
	return n
}

func (r checkResult) text() string {
	var b strings.Builder
	for _, s := range r.Services {
		fmt.Fprintf(&b, "%s: %s: %d databases, %d upstreams, %d classes\n",
			s.File, s.Service, s.Databases, s.Upstreams, s.Classes)
	}
	return b.String()
}
