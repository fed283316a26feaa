package ctl

import (
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/publish"
)

type historyCmd struct {
	console *console
	platformOptions
	Limit int `long:"limit" value-name:"N" default:"20" description:"The maximum number of revisions to list"`
}

func historyCommand(c *console) command {
	return command{
		name:  "history",
		short: "List the published revisions, newest first",
		long: "Lists the revision in force and earlier ones: revision, time, operator, attempt, services that changed, note." +
			"\n\nExample:\nchervilladderctl history --platform 10.0.0.9:8080 --limit 5",
		handler: &historyCmd{console: c},
	}
}

// historyResult lists revisions, newest first.
type historyResult struct {
	Revisions []listedRevision `json:"revisions"`
}

type listedRevision struct {
	Revision  chervilladder.Revision  `json:"revision"`
	Published time.Time               `json:"published"`
	Operator  string                  `json:"operator"`
	Attempt   chervilladder.AttemptID `json:"attempt"`
	// Changed is omitted for the oldest revision that the history holds,
	// unless it is the first one ever published.
	Changed []chervilladder.ServiceID `json:"changed,omitempty"`
	Note    string                    `json:"note,omitempty"`
}

// Execute implements flags.Commander.
func (k *historyCmd) Execute([]string) error {
	if k.Limit < 1 {
		return &UsageError{What: "--limit is less than 1", Fix: "give the number of revisions to list"}
	}
	client, err := k.client()
	if err != nil {
		return err
	}
	// What a revision changed is computed from the one before it, so one
	// more than requested is read.
	indexes, err := publish.History(k.console.ctx, client, k.Limit+1)
	if err != nil {
		return err
	}
	r := historyResult{Revisions: []listedRevision{}}
	for i, x := range indexes[:min(k.Limit, len(indexes))] {
		listed := listedRevision{Revision: x.Revision, Published: x.Published, Operator: x.Operator, Attempt: x.Attempt, Note: x.Note}
		switch {
		case i+1 < len(indexes):
			listed.Changed = x.Changed(indexes[i+1])
		case x.Revision == 1:
			listed.Changed = x.Changed(publish.Index{})
		}
		r.Revisions = append(r.Revisions, listed)
	}
	return k.console.show(r)
}

func (r historyResult) text() string {
	var t table
	t.row("REVISION", "PUBLISHED", "OPERATOR", "ATTEMPT", "CHANGED", "NOTE")
	for _, p := range r.Revisions {
		t.row(p.Revision, p.Published.Format(time.RFC3339), p.Operator, p.Attempt, joinServices(p.Changed), p.Note)
	}
	return t.String()
}

func joinServices(services []chervilladder.ServiceID) string {
	if len(services) == 0 {
		return "-"
	}
	names := make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, string(s))
	}
	return strings.Join(names, ",")
}
