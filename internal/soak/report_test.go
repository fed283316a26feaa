package soak_test

import (
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// The sizes of a report in pixels; binLength is the time that one bar covers.
const (
	pixelsPerSecond = 60
	rowHeight       = 18
	answersHeight   = 120
	binLength       = 250 * time.Millisecond
)

// colours maps the codes of outcomes to colours. Other codes have otherColour.
var colours = map[string]string{
	"ok": "#4a8f5c", "BUSY": "#d9a441", "INDOUBT": "#b3423a", "ABORTED": "#7a6fb0", "lost": "#555555",
}

const otherColour = "#5b8fb0"

// box is one rectangle of a report.
type box struct {
	X, Y, W, H int
	Colour     string
	Text       string
}

// page is the content of the report on a seed.
type page struct {
	Name                        string
	Width, Height, AnswersStart int
	Faults, Answers             []box
	Counts                      []string
	Violations                  []string
	Attempts, Promotions        int
}

// report writes an HTML report on the seed if the flag names a directory.
func report(t *testing.T, w *world, attempts []attempt, violations []string) {
	t.Helper()
	if *reportFlag == "" {
		return
	}
	name := strings.ReplaceAll(t.Name(), "/", "-")
	f, err := os.Create(filepath.Join(*reportFlag, name+".html"))
	if err != nil {
		t.Error(err)
		return
	}
	defer f.Close()
	if err := pageTemplate.Execute(f, draw(name, w, attempts, violations)); err != nil {
		t.Error(err)
	}
}

// draw lays out a report: one row for each event, and below them the answers to
// callers in bins of time.
func draw(name string, w *world, attempts []attempt, violations []string) page {
	p := page{Name: name, Violations: violations, Attempts: len(attempts), Promotions: len(w.cluster.Promotions())}
	if len(attempts) == 0 {
		return p
	}
	byStart := func(a, b attempt) int { return a.sent.Compare(b.sent) }
	earliest := slices.MinFunc(attempts, byStart).sent
	x := func(at time.Time) int { return int(at.Sub(earliest).Seconds() * pixelsPerSecond) }
	for i, e := range w.events {
		width := max(4, int(e.duration.Seconds()*pixelsPerSecond))
		p.Faults = append(p.Faults, box{X: x(e.at), Y: i * rowHeight, W: width, H: rowHeight - 4, Colour: "#b9b4a7", Text: e.text})
	}
	p.AnswersStart = len(w.events)*rowHeight + 10
	bins := make(map[int]map[string]int)
	counts := make(map[string]int)
	largestBin := 1
	for _, a := range attempts {
		bin := int(a.answered.Sub(earliest) / binLength)
		if bins[bin] == nil {
			bins[bin] = make(map[string]int)
		}
		bins[bin][a.code]++
		counts[a.code]++
		p.Width = max(p.Width, x(a.answered)+200)
	}
	for _, b := range bins {
		total := 0
		for _, n := range b {
			total += n
		}
		largestBin = max(largestBin, total)
	}
	for _, bin := range slices.Sorted(maps.Keys(bins)) {
		y := p.AnswersStart + answersHeight
		for _, code := range slices.Sorted(maps.Keys(bins[bin])) {
			height := max(1, bins[bin][code]*answersHeight/largestBin)
			y -= height
			colour, ok := colours[code]
			if !ok {
				colour = otherColour
			}
			width := int(binLength.Seconds() * pixelsPerSecond)
			p.Answers = append(p.Answers, box{X: bin * width, Y: y, W: width - 1, H: height, Colour: colour, Text: fmt.Sprintf("%s: %d", code, bins[bin][code])})
		}
	}
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		p.Counts = append(p.Counts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	p.Height = p.AnswersStart + answersHeight + 20
	return p
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;margin:24px}svg{background:#faf9f6}text{font:11px sans-serif}li{font-family:monospace}</style>
<h1>{{.Name}}</h1>
<p>{{.Attempts}} attempts, {{.Promotions}} promotions. Answers: {{range .Counts}}{{.}}; {{end}}</p>
{{if .Violations}}<h2>Violations</h2><ul>{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{else}}<p>No violation was found.</p>{{end}}
<p>Above: injected faults, 60 pixels a second. Below: answers to callers by quarters of a second (green ok, yellow busy, red in doubt, violet aborted, grey no answer, blue other errors).</p>
<svg width="{{.Width}}" height="{{.Height}}">
{{range .Faults}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}" fill="{{.Colour}}"/><text x="{{.X}}" y="{{.Y}}" dx="3" dy="11">{{.Text}}</text>
{{end}}{{range .Answers}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}" fill="{{.Colour}}"><title>{{.Text}}</title></rect>
{{end}}</svg>
</html>
`))
