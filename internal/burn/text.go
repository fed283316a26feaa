package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chervilladder/chervilladder"
)

// columnGap is the number of spaces between the columns of the table.
const columnGap = 2

// Text returns the report as text: the warnings, then a table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "burn report of %s, revision %d, %d VMs: %s\n\n",
		r.Taken.Format(time.RFC3339), r.Revision, len(r.VMs), joinVMs(r.VMs))
	for _, w := range r.Warnings {
		fmt.Fprintln(&b, w)
	}
	if len(r.Warnings) == 0 {
		fmt.Fprintln(&b, "every class keeps its objective")
	}
	b.WriteString("\n")
	b.WriteString(r.table())
	return b.String()
}

func joinVMs(vms []chervilladder.VMID) string {
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, string(vm))
	}
	return strings.Join(names, ", ")
}

func (r Report) table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	row := func(cells ...string) {
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // a strings.Builder doesn't fail
	}
	row("CLASS", "PRIORITY", "STATE", "OBJECTIVE", "BUDGET LEFT", "BURN 5 MIN", "BURN 1 H", "P50", "P99", "TARGET", "EVENTS 1 H", "BURNED BY, 1 H")
	for _, c := range r.Classes {
		row(c.name(), c.Priority, string(c.State), percent(c.ObjectivePercent), percent(c.BudgetLeftPercent),
			rate(c.Short.BurnRate), rate(c.Long.BurnRate), c.formatPercentile(c.Short.MedianSeconds), c.formatPercentile(c.Short.TailSeconds),
			milliseconds(c.TargetSeconds), fmt.Sprint(c.Long.Counts.Total()), c.Long.Counts.causes())
	}
	_ = w.Flush()
	return b.String()
}

func (r ClassReport) name() string { return fmt.Sprintf("%s/%s", r.Service, r.Class) }

// formatPercentile formats a percentile of the short window.
func (r ClassReport) formatPercentile(seconds float64) string {
	if r.snapshot.Short.Times.Count() == 0 {
		return "-"
	}
	return milliseconds(seconds)
}

// warning returns one line of text about a class that misses its target or its
// objective, or an empty string.
func (r ClassReport) warning() string {
	switch r.State {
	case StateSlow:
		return fmt.Sprintf("%s is slow: 99th percentile %s, target %s, over 5 minutes; %s",
			r.name(), milliseconds(r.Short.TailSeconds), milliseconds(r.TargetSeconds), r.burnText())
	case StateBurning:
		return fmt.Sprintf("%s misses its objective: %s of %d not served within %s, over 5 minutes; %s",
			r.name(), percent(badPercent(r.Short.Counts)), r.Short.Counts.Total(), milliseconds(r.TargetSeconds), r.burnText())
	case StateSpent:
		return fmt.Sprintf("%s keeps its objective again, but over the hour %s (%s)",
			r.name(), r.budgetText(), r.Long.Counts.causes())
	default:
		return ""
	}
}

func (r ClassReport) burnText() string {
	return fmt.Sprintf("it burns its error budget at %s times the allowed rate (%s), over the hour %s",
		rate(r.Short.BurnRate), r.Short.Counts.causes(), r.budgetText())
}

// budgetText returns how much of the long window's error budget is left.
func (r ClassReport) budgetText() string {
	if r.Long.BurnRate > 1 {
		return fmt.Sprintf("it has burned %s times its budget", rate(r.Long.BurnRate))
	}
	return percent(r.BudgetLeftPercent) + " of its budget is left"
}

// causes returns the number of bad events of each kind.
func (c Counts) causes() string {
	var causes []string
	for _, cause := range []struct {
		n    uint64
		name string
	}{{c.Late, "late"}, {c.Refused, "refused"}, {c.Unknown, "unknown"}, {c.Failed, "failed"}} {
		if cause.n > 0 {
			causes = append(causes, fmt.Sprintf("%d %s", cause.n, cause.name))
		}
	}
	if len(causes) == 0 {
		return "-"
	}
	return strings.Join(causes, ", ")
}

func badPercent(c Counts) float64 {
	if c.Total() == 0 {
		return 0
	}
	return 100 * float64(c.Bad()) / float64(c.Total())
}

func milliseconds(seconds float64) string {
	ms := seconds * 1000
	if ms < 10 {
		return fmt.Sprintf("%.1f ms", ms)
	}
	return fmt.Sprintf("%.0f ms", ms)
}

func percent(p float64) string {
	text := strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.2f", p), "0"), ".")
	if text == "-0" {
		text = "0"
	}
	return text + " %"
}

func rate(r float64) string {
	if r >= maxBurnRate {
		return fmt.Sprintf("over %d", maxBurnRate)
	}
	return fmt.Sprintf("%.1f", r)
}
