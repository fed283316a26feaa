package ctl

import (
	"fmt"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

type publishCmd struct {
	console *console
	publishOptions
	Remove []string `long:"remove" value-name:"SERVICE" description:"Remove a service from the configuration (may be repeated)"`
	Args   struct {
		Paths []string `positional-arg-name:"PATH"`
	} `positional-args:"yes"`
}

func publishCommand(c *console) command {
	return command{
		name:  "publish",
		short: "Publish service files",
		long: "Checks service files and publishes them as one new revision, which is then in force. " +
			"Services that the files don't describe remain unchanged." +
			"\n\nExample:\nchervilladderctl publish --platform 10.0.0.9:8080 --note 'more slots' services/",
		handler: &publishCmd{console: c},
	}
}

// publishResult describes the revision in force after publishing.
type publishResult struct {
	Revision chervilladder.Revision  `json:"revision"`
	Attempt  chervilladder.AttemptID `json:"attempt"`
	Operator string                  `json:"operator"`
	Services int                     `json:"services"`
}

func publishResultOf(x publish.Index) publishResult {
	return publishResult{Revision: x.Revision, Attempt: x.Attempt, Operator: x.Operator, Services: len(x.Services)}
}

func (r publishResult) text() string {
	return fmt.Sprintf("revision %d by %s is in force with %d services (attempt %s)\n",
		r.Revision, r.Operator, r.Services, r.Attempt)
}

// Execute implements flags.Commander.
func (k *publishCmd) Execute([]string) error {
	if len(k.Args.Paths) == 0 && len(k.Remove) == 0 {
		return &UsageError{What: "nothing to publish", Fix: "give service files, directories or --remove SERVICE"}
	}
	var files []servicefile.File
	if len(k.Args.Paths) > 0 {
		var err error
		if files, err = servicefile.ReadPaths(k.Args.Paths...); err != nil {
			return err
		}
	}
	p, err := k.publisher(k.console)
	if err != nil {
		return err
	}
	change := publish.Change{Files: files, Note: k.Note, Expect: k.expect()}
	for _, s := range k.Remove {
		change.Remove = append(change.Remove, chervilladder.ServiceID(s))
	}
	index, err := p.Publish(k.console.ctx, change)
	if err != nil {
		return err
	}
	return k.console.show(publishResultOf(index))
}
