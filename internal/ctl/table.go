package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table aligns rows in columns.
type table struct {
	lines []string
}

// row adds a row with one cell per column.
func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	t.line(strings.Join(texts, "\t"))
}

// line adds a line as it is.
func (t *table) line(text string) { t.lines = append(t.lines, text) }

// String returns the table with its columns aligned.
func (t *table) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	for _, l := range t.lines {
		_, _ = fmt.Fprintln(w, l) // a strings.Builder doesn't fail
	}
	_ = w.Flush()
	return b.String()
}
