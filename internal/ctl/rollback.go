package ctl

import (
	"fmt"

	"github.com/chervilladder/chervilladder"
)

type rollbackCmd struct {
	console *console
	publishOptions
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

func rollbackCommand(c *console) command {
	return command{
		name:  "rollback",
		short: "Publish an earlier revision again",
		long: "Publishes the content of an earlier revision, with all its services, as a new revision." +
			"\n\nExample:\nchervilladderctl rollback --platform 10.0.0.9:8080 41",
		handler: &rollbackCmd{console: c},
	}
}

// Execute publishes the content of the earlier revision.
func (k *rollbackCmd) Execute([]string) error {
	p, err := k.publisher(k.console)
	if err != nil {
		return err
	}
	note := k.Note
	if note == "" {
		note = fmt.Sprintf("back to revision %d", k.Args.Revision)
	}
	index, err := p.Rollback(k.console.ctx, chervilladder.Revision(k.Args.Revision), note, k.expect())
	if err != nil {
		return err
	}
	return k.console.show(publishResultOf(index))
}
